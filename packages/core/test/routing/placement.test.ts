// Guards against placements that cost more than needed, because the wait for a queue or a link is
// misjudged, and against plans that cannot be used: an import with a gap in the chain of pieces, or
// pieces that were computed for another client account or weight version.
import * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
import * as fastCheck from 'fast-check';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('placement');

type Configuration = core.configuration.Configuration;

/** Engines and two stores, with the given weights and link rate. */
function aFleet(given: {
  engines?: number;
  weights?: core.configuration.ModelService['weights'];
  linkBytesPerS?: number;
}): Configuration {
  const { engines = 2, weights = { firstToken: 1, recompute: 1 }, linkBytesPerS = 1e10 } = given;
  return fixtures.aConfiguration({
    services: [fixtures.aModelService({ weights })],
    upstreams: Array.from({ length: engines }, (_, at) =>
      fixtures.anUpstream({ name: `engine-${at + 1}` }),
    ),
    stores: ['store-1', 'store-2'].map((name) => fixtures.aStore({ name, linkBytesPerS })),
  });
}

function reportCached(
  driver: fixtures.RoutingDriver,
  upstream: string,
  pieces: readonly string[],
): void {
  const report = { kind: 'snapshot', sequence: 1, pieces } as const;
  driver.send({ type: 'engine.reported', upstream, report });
}

function reportStored(
  driver: fixtures.RoutingDriver,
  pieces: readonly string[],
  given: { store?: string; tierOf?: (at: number) => core.keptContext.Tier } = {},
): void {
  const { store = 'store-1', tierOf = () => 'memory' } = given;
  const manifests = pieces.map((piece, at) =>
    fixtures.aManifest({ piece, store, slot: at, tier: tierOf(at) }),
  );
  const report = { kind: 'snapshot', sequence: 1, storeIncarnation: 's', manifests } as const;
  driver.send({ type: 'store.reported', store, report });
}

function placed(plan: core.messages.PlacementDecision | undefined): core.messages.Placement {
  if (plan?.kind !== 'placed') throw new Error('expected a placement');
  return plan.placement;
}

suite('a prompt goes to the idle replica that caches its pieces and reuses them there', () => {
  const driver = fixtures.aRoutingDriver(aFleet({}));
  reportCached(driver, 'engine-2', fixtures.pieceNames('a', 4));
  const { upstream, reusePieces } = placed(driver.plan(fixtures.anOutline()));
  assert.equal({ upstream, reusePieces }, { upstream: 'engine-2', reusePieces: 4 });
});

suite('prompts that share a first piece do not all queue at the replica that caches it', () => {
  const driver = fixtures.aRoutingDriver(aFleet({ engines: 4 }));
  reportCached(driver, 'engine-2', ['opening']);
  const used = Array.from({ length: 8 }, (_, at) => {
    const pieces = ['opening', ...fixtures.pieceNames(`own-${at}`, 6)];
    return placed(driver.plan(fixtures.anOutline({ requestId: `r-${at}`, pieces }))).upstream;
  });
  assert.is(new Set(used).size, 4);
});

suite('the expected wait of a short-priority prompt excludes prefill of lower priority', () => {
  const configuration = aFleet({ engines: 1 });
  const check = fixtures.aModelService({ name: 'check', priority: 'short' });
  const [engine] = configuration.upstreams;
  const driver = fixtures.aRoutingDriver({
    ...configuration,
    services: [...configuration.services, check],
    upstreams: engine ? [{ ...engine, services: ['briefing', 'check'] }] : [],
  });
  driver.plan(fixtures.anOutline({ pieces: fixtures.pieceNames('long', 20) }));
  const short = fixtures.anOutline({ requestId: 'short', service: 'check', pieces: ['short'] });
  assert.ok(placed(driver.plan(short)).expectedFirstTokenMs < 500);
});

suite('on a slow link, pieces in memory are imported and pieces on disk are recomputed', () => {
  const driver = fixtures.aRoutingDriver(
    aFleet({ linkBytesPerS: 600_000_000, weights: { firstToken: 1, recompute: 0 } }),
  );
  reportStored(driver, fixtures.pieceNames('a', 4), {
    tierOf: (at) => (at < 2 ? 'memory' : 'disk'),
  });
  const { imports } = placed(driver.plan(fixtures.anOutline()));
  assert.equal(
    imports.map(({ piece }) => piece),
    ['a/0', 'a/1'],
  );
});

suite('on a slow link, weight on first token recomputes; weight on recompute imports', () => {
  const importsOf = (weights: core.configuration.ModelService['weights']) => {
    const driver = fixtures.aRoutingDriver(aFleet({ weights, linkBytesPerS: 400_000_000 }));
    reportStored(driver, fixtures.pieceNames('a', 4));
    return placed(driver.plan(fixtures.anOutline())).imports.length;
  };
  assert.is(importsOf({ firstToken: 1, recompute: 0 }), 0);
  assert.is(importsOf({ firstToken: 0.2, recompute: 1 }), 4);
});

suite('imports already queued on a link make recomputing the better plan', () => {
  const driver = fixtures.aRoutingDriver(
    aFleet({ linkBytesPerS: 1_000_000_000, weights: { firstToken: 1, recompute: 0 } }),
  );
  reportStored(driver, fixtures.pieceNames('a', 4));
  const replyTo = fixtures.aMailbox<core.messages.ImportReport>();
  const manifests = fixtures.pieceNames('other', 40).map((piece) => fixtures.aManifest({ piece }));
  const order = fixtures.anImportOrder({ runId: 'other.1', manifests, importTimeoutMs: 60_000 });
  driver.send({ type: 'routing.request-import', order, replyTo });
  assert.is(placed(driver.plan(fixtures.anOutline())).imports.length, 0);
});

suite('with both stores silent, queued imports get a reply and prompts import nothing', () => {
  const driver = fixtures.aRoutingDriver(aFleet({}));
  const replyTo = fixtures.aMailbox<core.messages.ImportReport>();
  ['store-1', 'store-2'].forEach((store) =>
    reportStored(driver, fixtures.pieceNames('a', 4), { store }),
  );
  const runIds = Array.from({ length: 6 }, (_, at) => `r-${at}.1`);
  const commands = runIds.flatMap((runId) =>
    driver.send({
      type: 'routing.request-import',
      order: fixtures.anImportOrder({ runId }),
      replyTo,
    }),
  );
  assert.is(commands.filter(({ kind }) => kind === 'start-import').length, 4);
  const replies = ['store-1', 'store-2']
    .flatMap((store) => driver.send({ type: 'store.reported', store, report: { kind: 'silent' } }))
    .filter(({ kind }) => kind === 'reply-import');
  assert.is(replies.length, 2);
  const { imports } = placed(driver.plan(fixtures.anOutline()));
  assert.is(imports.length, 0);
});

suite('imported pieces follow the reused ones without a gap and come from one store', () => {
  const flags = fastCheck.array(fastCheck.constantFrom('engine', 'store-1', 'store-2', 'none'), {
    minLength: 1,
    maxLength: 12,
  });
  fastCheck.assert(
    fastCheck.property(flags, fastCheck.boolean(), (where, isSlow) => {
      const driver = fixtures.aRoutingDriver(aFleet({ linkBytesPerS: isSlow ? 3e8 : 1e10 }));
      const pieces = fixtures.pieceNames('a', where.length);
      const at = (place: string) => pieces.filter((_, index) => where[index] === place);
      reportCached(driver, 'engine-1', at('engine'));
      ['store-1', 'store-2'].forEach((store) => reportStored(driver, at(store), { store }));
      const plan = placed(driver.plan(fixtures.anOutline({ pieces })));
      const imported = plan.imports.map(({ piece }) => piece);
      assert.equal(imported, pieces.slice(plan.reusePieces, plan.reusePieces + imported.length));
      assert.ok(new Set(plan.imports.map(({ store }) => store)).size <= 1);
    }),
    fixtures.seeded(300),
  );
});

suite('kept pieces are not offered to another client account or weight version', () => {
  const prompt = 'a'.repeat(core.keptContext.PIECE_BYTES * 4);
  const namesFor = (account: string, weightVersion: string) =>
    core.keptContext.namePieces(
      core.keptContext.deriveRoot(
        fixtures.aClientAccount({ name: account }),
        fixtures.aModelService({ weightVersion }),
      ),
      prompt,
    );
  const driver = fixtures.aRoutingDriver(aFleet({}));
  reportStored(driver, namesFor('alpha', 'v1'));
  reportCached(driver, 'engine-1', namesFor('alpha', 'v1'));
  const offeredPieces = (account: string, weightVersion: string) => {
    const pieces = namesFor(account, weightVersion);
    const requestId = `${account}-${weightVersion}`;
    const plan = placed(driver.plan(fixtures.anOutline({ requestId, pieces }), 60_000));
    return plan.reusePieces + plan.imports.length;
  };
  assert.equal(
    [offeredPieces('alpha', 'v1'), offeredPieces('beta', 'v1'), offeredPieces('alpha', 'v2')],
    [4, 0, 0],
  );
});

suite.run();
