/**
 * What a model engine promises: batching slots with priorities, a prefix cache, resumption,
 * cancellation, export and import of kept context, reports, and orders.
 */
import type * as uvu from 'uvu';
import * as assert from 'uvu/assert';

import * as wire from './wire.js';

/** How an engine has to be set up for a test. */
export type Options = Partial<{
  slots: number;
  cachePieces: number;
  decodeMsPerToken: number;
  checksFencing: boolean;
  coldSlots: number;
  coldMs: number;
}>;

export type Subject = {
  address: string;
  /** From now on every n-th cache event is lost. */
  dropEvents(every: number): Promise<void>;
  /** The engine forgets its runs, as after a restart. */
  forgetRuns(): Promise<void>;
  end(): Promise<void>;
};

export type Start = (wish: Options) => Promise<Subject>;
/** A store that engines can reach. */
export type StartStore = () => Promise<{ address: string; end(): Promise<void> }>;

export const PIECE_BYTES = 8_000;
const PIECE_TOKENS = 2_000;
const MAX_TOKENS = 5;
const PROMPT = 'a'.repeat(PIECE_BYTES).concat('b'.repeat(PIECE_BYTES), 'and the rest');
const PIECES = ['piece-a', 'piece-b'];

type JsonObject = Readonly<Record<string, unknown>>;

function aRunOrder(runId: string, given: JsonObject = {}): JsonObject {
  return {
    runId,
    model: 'model',
    adapter: '',
    weightVersion: 'v1',
    prompt: PROMPT,
    pieces: PIECES,
    adopted: [],
    maxTokens: MAX_TOKENS,
    priority: 'normal',
    offset: 0,
    answered: '',
    ...given,
  };
}

function run({ address }: Subject, order: JsonObject): Promise<readonly wire.Line[]> {
  return wire.readAll(address, 'POST', '/v1/runs', order);
}

export function describeEngine(suite: uvu.Test, start: Start, startStore: StartStore): void {
  const test = (name: string, wish: Options, act: (subject: Subject) => Promise<void>) =>
    suite(name, async () => {
      const subject = await start(wish);
      try {
        await act(subject);
      } finally {
        await subject.end();
      }
    });
  describeRuns(test);
  describeCache(test, start, startStore);
  describeReports(test);
  describeOperatorOrders(test);
}

type Test = (name: string, wish: Options, act: (subject: Subject) => Promise<void>) => void;

function describeRuns(test: Test): void {
  test('a run starts, gives each token with its offset, and ends', {}, async (subject) => {
    const lines = await run(subject, aRunOrder('run-1'));
    assert.is(lines[0]?.kind, 'started');
    const tokens = lines.filter(({ kind }) => kind === 'token');
    assert.equal(
      tokens.map(({ offset }) => offset),
      [0, 1, 2, 3, 4],
    );
    const { kind, tokens: count } = lines.at(-1) ?? {};
    assert.equal({ kind, count }, { kind: 'ended', count: MAX_TOKENS });
  });

  test('a run is resumed from an offset without gap or repetition', {}, async (subject) => {
    const whole = await run(subject, aRunOrder('run-1'));
    const rest = await wire.readAll(subject.address, 'GET', '/v1/runs/run-1?offset=3');
    const offsets = rest.filter(({ kind }) => kind === 'token').map(({ offset }) => offset);
    assert.equal(offsets, [3, 4]);
    assert.ok(wire.textOf(whole).endsWith(wire.textOf(rest)));
  });

  test('another run goes on at an offset with the same text', {}, async (subject) => {
    const whole = await run(subject, aRunOrder('run-1'));
    const rest = await run(subject, aRunOrder('run-2', { offset: 2 }));
    assert.ok(wire.textOf(whole).endsWith(wire.textOf(rest)));
    assert.is(rest.find(({ kind }) => kind === 'token')?.offset, 2);
  });

  test('a forgotten run cannot be resumed', {}, async (subject) => {
    await run(subject, aRunOrder('run-1'));
    await subject.forgetRuns();
    const { status } = await wire.call(subject.address, 'GET', '/v1/runs/run-1?offset=0');
    assert.is(status, 404);
  });

  test('a cancelled run ends early and says so', { decodeMsPerToken: 20 }, async (subject) => {
    const order = aRunOrder('run-1', { maxTokens: 500 });
    const following = await wire.openStream(subject.address, 'POST', '/v1/runs', order);
    await following.readUntil(wire.isStarted);
    await wire.call(subject.address, 'DELETE', '/v1/runs/run-1');
    const lines = await following.readUntil(() => false);
    assert.is(lines.at(-1)?.finish, 'cancelled');
    assert.ok(lines.length < 500);
  });

  test(
    'a short prompt goes before a long one when slots are taken',
    { slots: 1 },
    async (subject) => {
      const begin = (runId: string, priority: string, maxTokens = MAX_TOKENS) =>
        wire.openStream(
          subject.address,
          'POST',
          '/v1/runs',
          aRunOrder(runId, { priority, maxTokens }),
        );
      const first = await begin('run-1', 'normal', 50);
      await first.readUntil(wire.isStarted);
      const [long, short] = [await begin('run-2', 'long'), await begin('run-3', 'short')];
      const order: string[] = [];
      await Promise.all([
        long.readUntil(wire.isStarted).then(() => order.push('long')),
        short.readUntil(wire.isStarted).then(() => order.push('short')),
      ]);
      assert.equal(order, ['short', 'long']);
    },
  );

  test('no more than its bound runs while it is cold', COLD_OPTIONS, async (subject) => {
    const order = aRunOrder('run-1', { maxTokens: 100 });
    const first = await wire.openStream(subject.address, 'POST', '/v1/runs', order);
    await first.readUntil(wire.isStarted);
    const { status } = await wire.call(subject.address, 'POST', '/v1/runs', aRunOrder('run-2'));
    assert.is(status, 503);
  });
}

const COLD_OPTIONS: Options = { coldMs: 60_000, coldSlots: 1, decodeMsPerToken: 20 };

function describeCache(test: Test, start: Start, startStore: StartStore): void {
  test('a prompt reuses the pieces that the cache holds', {}, async (subject) => {
    const [first] = await run(subject, aRunOrder('run-1'));
    const [second] = await run(subject, aRunOrder('run-2'));
    assert.is(first?.reusedTokens, 0);
    assert.is(second?.reusedTokens, 2 * PIECE_TOKENS);
  });

  test('pieces behind a missing one are not reused', {}, async (subject) => {
    await run(subject, aRunOrder('run-1'));
    const [second] = await run(subject, aRunOrder('run-2', { pieces: ['other', 'piece-b'] }));
    assert.is(second?.reusedTokens, 0);
  });

  test('a limited cache forgets the oldest pieces', { cachePieces: 2 }, async (subject) => {
    await run(subject, aRunOrder('run-1'));
    await run(subject, aRunOrder('run-2', { pieces: ['piece-c', 'piece-d'] }));
    const [again] = await run(subject, aRunOrder('run-3'));
    assert.is(again?.reusedTokens, 0);
  });

  test(
    'context goes through a store to another engine and changes no answer',
    {},
    async (subject) => {
      const [store, other] = await Promise.all([startStore(), start({})]);
      const computed = await run(subject, aRunOrder('run-1'));
      const storeAddress = store.address;
      const wish = { storeAddress, pieces: [...PIECES, 'not-held'], tier: 'memory' };
      const exported = await wire.call(subject.address, 'POST', '/v1/kv/export', wish);
      assert.equal(exported.body, { exported: PIECES });
      const reports = await wire.openStream(store.address, 'GET', '/events');
      const [snapshot] = await reports.readUntil(() => true);
      const manifests = (snapshot?.manifests ?? []) as readonly JsonObject[];
      const order = { importId: 'run-2', storeAddress, manifests };
      const imported = await wire.call(other.address, 'POST', '/v1/kv/import', order);
      const { seen } = imported.body as { seen: readonly JsonObject[] };
      const checksums = (each: readonly JsonObject[]) =>
        each.map(({ checksum }) => checksum).sort();
      assert.equal(checksums(seen), checksums(manifests));
      const lines = await run(other, aRunOrder('run-2', { adopted: PIECES }));
      assert.is(lines[0]?.importedTokens, 2 * PIECE_TOKENS);
      assert.is(wire.textOf(lines), wire.textOf(computed));
      await Promise.all([store.end(), other.end()]);
    },
  );

  test('staged pieces that the run does not adopt are not used', {}, async (subject) => {
    const store = await startStore();
    await run(subject, aRunOrder('run-1'));
    const lines = await run(subject, aRunOrder('run-2', { pieces: ['x', 'y'], adopted: ['x'] }));
    assert.is(lines[0]?.importedTokens, 0);
    await store.end();
  });
}

function describeReports(test: Test): void {
  test('reports begin with a snapshot and number each change of the cache', {}, async (subject) => {
    const reports = await wire.openStream(subject.address, 'GET', '/v1/events');
    await reports.readUntil(({ kind }) => kind === 'snapshot');
    await run(subject, aRunOrder('run-1'));
    const lines = await reports.readUntil(({ piece }) => piece === 'piece-b');
    const changes = lines.filter(({ kind }) => kind === 'piece-cached');
    assert.equal(
      changes.map(({ sequence, piece }) => [sequence, piece]),
      [
        [1, 'piece-a'],
        [2, 'piece-b'],
      ],
    );
  });

  test('a lost event leaves a gap, and a new stream’s snapshot closes it', {}, async (subject) => {
    const reports = await wire.openStream(subject.address, 'GET', '/v1/events');
    await reports.readUntil(({ kind }) => kind === 'snapshot');
    await subject.dropEvents(2);
    await run(subject, aRunOrder('run-1'));
    await subject.dropEvents(0);
    await run(subject, aRunOrder('run-2', { pieces: ['piece-c', 'piece-d'] }));
    const lines = await reports.readUntil(({ piece }) => piece === 'piece-d');
    const changes = lines.filter(({ kind }) => kind === 'piece-cached');
    assert.equal(
      changes.map(({ sequence }) => sequence),
      [1, 3, 4],
    );
    const anew = await wire.openStream(subject.address, 'GET', '/v1/events');
    const [snapshot] = await anew.readUntil(({ kind }) => kind === 'snapshot');
    assert.is(snapshot?.sequence, 4);
    assert.equal([...(snapshot?.pieces as readonly string[])].sort(), [
      'piece-a',
      'piece-b',
      'piece-c',
      'piece-d',
    ]);
  });

  test('load reports say what runs and whether it is cold', COLD_OPTIONS, async (subject) => {
    const reports = await wire.openStream(subject.address, 'GET', '/v1/events');
    const lines = await reports.readUntil(({ kind }) => kind === 'load');
    const { kind, running, waiting, temperature, weightVersion } = lines.at(-1) ?? {};
    const expected = {
      kind: 'load',
      running: 0,
      waiting: 0,
      temperature: 'cold',
      weightVersion: 'v1',
    };
    assert.equal({ kind, running, waiting, temperature, weightVersion }, expected);
  });
}

function describeOperatorOrders(test: Test): void {
  const load = { kind: 'load-version', weightVersion: 'v2' };
  const order = ({ address }: Subject, fencing: number) =>
    wire.call(address, 'POST', '/v1/orders', { orderId: 'order', fencing, action: load });

  test('a run for other weights is refused before it runs', {}, async (subject) => {
    const wish = aRunOrder('run-1', { weightVersion: 'v2' });
    assert.is((await wire.call(subject.address, 'POST', '/v1/runs', wish)).status, 409);
    assert.is((await order(subject, 1)).status, 200);
    assert.is((await run(subject, wish)).at(-1)?.kind, 'ended');
  });

  test(
    'a checking engine refuses an old fencing number',
    { checksFencing: true },
    async (subject) => {
      assert.is((await order(subject, 7)).status, 200);
      assert.is((await order(subject, 6)).status, 409);
      assert.is((await order(subject, 7)).status, 200);
    },
  );

  test(
    'an engine that does not check obeys old numbers',
    { checksFencing: false },
    async (subject) => {
      assert.is((await order(subject, 7)).status, 200);
      assert.is((await order(subject, 6)).status, 200);
    },
  );
}
