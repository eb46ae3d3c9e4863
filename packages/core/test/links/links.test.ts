// Guards against prompts that wait longer than recomputing takes, because an import gets no reply,
// an export or one client account occupies the link, or the estimate ignores that a link is slow.
import * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
import * as fastCheck from 'fast-check';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const { links } = core;
const suite = uvu.suite('links');

type Command = core.links.Command;
type Order = core.messages.ImportOrder;

const PIECE_BYTES = 1_000_000;

function someLinks(): core.links.Links {
  const state = links.create();
  const configuration = fixtures.aConfiguration({
    stores: [fixtures.aStore({ linkBytesPerS: 10_000_000 })],
  });
  links.applyConfiguration(state, configuration, PIECE_BYTES);
  return state;
}

function requestImport(
  state: core.links.Links,
  given: Partial<Order>,
  nowMs = 0,
): readonly Command[] {
  const replyTo = fixtures.aMailbox<core.messages.ImportReport>();
  return links.onImport(state, fixtures.anImportOrder(given), replyTo, nowMs);
}

function anExport(exportId: string): core.messages.ExportOrder {
  return {
    exportId,
    upstream: 'engine-1',
    store: 'store-1',
    storeAddress: '127.0.0.1:7101',
    pieces: ['x'],
    tier: 'memory',
  };
}

function startedOf(commands: readonly Command[]): readonly string[] {
  return commands.flatMap((each) => (each.kind === 'start-import' ? [each.order.runId] : []));
}

/** Starts as many imports as the link takes at a time. */
function fillLink(state: core.links.Links): readonly string[] {
  const runIds = Array.from({ length: links.MAX_ACTIVE_IMPORTS }, (_, at) => `full-${at}.1`);
  runIds.forEach((runId) => requestImport(state, { runId, importTimeoutMs: 60_000 }));
  return runIds;
}

function finish(state: core.links.Links, runId: string, nowMs = 10): readonly Command[] {
  return links.onImportReport(state, { type: 'import.finished', runId, seen: [] }, nowMs);
}

suite('a short-priority import starts before a long-priority one', () => {
  const state = someLinks();
  const [first = ''] = fillLink(state);
  requestImport(state, { runId: 'long.1', priority: 'long' });
  requestImport(state, { runId: 'short.1', priority: 'short' });
  assert.equal(startedOf(finish(state, first)), ['short.1']);
});

suite('at equal priority, the client account served least for its share goes first', () => {
  const state = someLinks();
  const [first = ''] = fillLink(state);
  requestImport(state, { runId: 'greedy.1', clientAccount: 'alpha' });
  requestImport(state, { runId: 'modest.1', clientAccount: 'beta' });
  requestImport(state, { runId: 'greedy.2', clientAccount: 'alpha' });
  assert.equal(startedOf(finish(state, first)), ['greedy.1']);
  assert.equal(startedOf(finish(state, 'greedy.1')), ['modest.1']);
});

suite('an import later than recomputing is cancelled and gets a failure reply', () => {
  const state = someLinks();
  requestImport(state, { runId: 'slow.1', importTimeoutMs: 500 });
  const commands = links.onLateCheck(state, 500);
  assert.ok(commands.some((each) => each.kind === 'cancel-import' && each.runId === 'slow.1'));
  const reply = commands.find((each) => each.kind === 'reply-import');
  assert.is(reply?.message.type === 'import.failed' && reply.message.failure.code, 'importLate');
  assert.equal(finish(state, 'slow.1'), []);
});

suite('a link that transfers at a tenth of its configured rate is estimated at that rate', () => {
  const state = someLinks();
  const before = links.estimateImportMs(state, 'store-1', 'normal', PIECE_BYTES, 0);
  for (let at = 0; at < 20; at += 1) {
    requestImport(state, { runId: `slow-${at}.1`, importTimeoutMs: 60_000 }, at * 1_000);
    finish(state, `slow-${at}.1`, at * 1_000 + 1_000);
  }
  const after = links.estimateImportMs(state, 'store-1', 'normal', PIECE_BYTES, 20_000);
  assert.is(Math.round(after / before), 10);
});

suite('the estimate of a slow link returns to the configured rate after some hours', () => {
  const state = someLinks();
  requestImport(state, { runId: 'slow.1', importTimeoutMs: 60_000 });
  finish(state, 'slow.1', 10_000);
  const hourMs = 3_600_000;
  const expected = links.estimateImportMs(state, 'store-1', 'normal', PIECE_BYTES, 3 * hourMs);
  assert.ok(expected < 110, `expected ${expected} ms`);
});

suite('an export waits until the import in flight has finished', () => {
  const state = someLinks();
  requestImport(state, { runId: 'first.1' });
  assert.equal(links.onExport(state, anExport('e'), 0), []);
  const after = finish(state, 'first.1').map(({ kind }) => kind);
  assert.equal(after, ['reply-import', 'start-export']);
});

suite('when a store becomes silent, its queued imports get a reply at once', () => {
  const state = someLinks();
  fillLink(state);
  requestImport(state, { runId: 'waits.1' });
  const repliedRunIds = links
    .onStoreSilent(state, 'store-1', 5)
    .filter((each) => each.kind === 'reply-import')
    .map(({ message }) => message.runId);
  assert.equal(repliedRunIds, ['waits.1']);
});

suite('the import of a request that has ended is cancelled without a reply', () => {
  const state = someLinks();
  requestImport(state, { runId: 'request-7.1' });
  const kinds = links.cancelImportsOf(state, 'request-7', 5).map(({ kind }) => kind);
  assert.equal(kinds, ['cancel-import']);
});

const step = fastCheck.record({
  kind: fastCheck.constantFrom(
    'ask',
    'finish',
    'fail',
    'start-export',
    'exported',
    'wake',
    'silent',
  ),
  pick: fastCheck.nat(20),
  lateAfterMs: fastCheck.nat(300),
});
type Given = { kind: string; pick: number; lateAfterMs: number };

/** Applies one random event to a link. */
function applyStep(state: core.links.Links, given: Given, at: number, active: readonly string[]) {
  const nowMs = at * 50;
  const runId = active[given.pick % Math.max(1, active.length)] ?? 'none';
  switch (given.kind) {
    case 'ask':
      return requestImport(state, { runId: `r${at}.1`, importTimeoutMs: given.lateAfterMs }, nowMs);
    case 'finish':
      return finish(state, runId, nowMs);
    case 'fail': {
      const failure = core.results.failure('unsafeRead', 'fault');
      return links.onImportReport(state, { type: 'import.failed', runId, failure }, nowMs);
    }
    case 'start-export':
      return links.onExport(state, anExport(`e${at}`), nowMs);
    case 'exported': {
      const exportId = state.byStore.get('store-1')?.activeExport?.exportId ?? '';
      return links.onExportReport(
        state,
        { type: 'export.finished', exportId, pieces: ['x'] },
        nowMs,
      );
    }
    case 'silent':
      return links.onStoreSilent(state, 'store-1', nowMs);
    default:
      return links.onLateCheck(state, nowMs);
  }
}

suite('every import gets one reply, and no export starts while an import needs the link', () => {
  fastCheck.assert(
    fastCheck.property(fastCheck.array(step, { maxLength: 60 }), (steps) => {
      const state = someLinks();
      const requestedRunIds = new Set<string>();
      const repliedRunIds: string[] = [];
      const checkCommands = (commands: readonly Command[]) => {
        const link = state.byStore.get('store-1');
        assert.ok((link?.activeImports.size ?? 0) <= links.MAX_ACTIVE_IMPORTS);
        commands.forEach((command) => {
          if (command.kind === 'reply-import') repliedRunIds.push(command.message.runId);
          if (command.kind === 'start-export') {
            assert.is((link?.activeImports.size ?? 0) + (link?.waiting.length ?? 0), 0);
          }
        });
      };
      steps.forEach((given, at) => {
        if (given.kind === 'ask') requestedRunIds.add(`r${at}.1`);
        checkCommands(
          applyStep(state, given, at, [
            ...(state.byStore.get('store-1')?.activeImports.keys() ?? []),
          ]),
        );
      });
      checkCommands(links.onLateCheck(state, Number.MAX_SAFE_INTEGER));
      checkCommands(links.onLateCheck(state, Number.MAX_SAFE_INTEGER));
      assert.is(repliedRunIds.length, new Set(repliedRunIds).size);
      assert.equal(new Set(repliedRunIds), requestedRunIds);
    }),
    fixtures.seeded(500),
  );
});

suite.run();
