/**
 * Contract tests of a model engine: batching slots with priorities, a prefix cache, resumption,
 * cancellation, export and import of context, reports, and fenced orders.
 */
import type * as uvu from 'uvu';
import * as assert from 'uvu/assert';

import * as wire from './wire.js';

/** Options of an engine under test. */
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
  /** Makes the engine drop every n-th cache event from now on. */
  dropEvents(every: number): Promise<void>;
  /** Makes the engine forget its runs, as after a restart. */
  forgetRuns(): Promise<void>;
  end(): Promise<void>;
};

export type Start = (options: Options) => Promise<Subject>;
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
  const test = (name: string, options: Options, act: (subject: Subject) => Promise<void>) =>
    suite(name, async () => {
      const subject = await start(options);
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

type Test = (name: string, options: Options, act: (subject: Subject) => Promise<void>) => void;

function describeRuns(test: Test): void {
  test('a run sends a start, each token with its offset, and an end', {}, async (subject) => {
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

  test('a run resumed from an offset has no gap and no repeated token', {}, async (subject) => {
    const whole = await run(subject, aRunOrder('run-1'));
    const rest = await wire.readAll(subject.address, 'GET', '/v1/runs/run-1?offset=3');
    const offsets = rest.filter(({ kind }) => kind === 'token').map(({ offset }) => offset);
    assert.equal(offsets, [3, 4]);
    assert.ok(wire.textOf(whole).endsWith(wire.textOf(rest)));
  });

  test('another run that starts at an offset continues with the same text', {}, async (subject) => {
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

  test('a cancelled run ends early as "cancelled"', { decodeMsPerToken: 20 }, async (subject) => {
    const order = aRunOrder('run-1', { maxTokens: 500 });
    const following = await wire.openStream(subject.address, 'POST', '/v1/runs', order);
    await following.readUntil(wire.isStarted);
    await wire.call(subject.address, 'DELETE', '/v1/runs/run-1');
    const lines = await following.readUntil(() => false);
    assert.is(lines.at(-1)?.finish, 'cancelled');
    assert.ok(lines.length < 500);
  });

  test(
    'a waiting run of priority short starts before one of priority long',
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

  test('a cold engine runs no more requests than its limit', COLD_OPTIONS, async (subject) => {
    const order = aRunOrder('run-1', { maxTokens: 100 });
    const first = await wire.openStream(subject.address, 'POST', '/v1/runs', order);
    await first.readUntil(wire.isStarted);
    const { status } = await wire.call(subject.address, 'POST', '/v1/runs', aRunOrder('run-2'));
    assert.is(status, 503);
  });
}

const COLD_OPTIONS: Options = { coldMs: 60_000, coldSlots: 1, decodeMsPerToken: 20 };

function describeCache(test: Test, start: Start, startStore: StartStore): void {
  test('a prompt reuses its cached pieces', {}, async (subject) => {
    const [first] = await run(subject, aRunOrder('run-1'));
    const [second] = await run(subject, aRunOrder('run-2'));
    assert.is(first?.reusedTokens, 0);
    assert.is(second?.reusedTokens, 2 * PIECE_TOKENS);
  });

  test('pieces after a missing piece are not reused', {}, async (subject) => {
    await run(subject, aRunOrder('run-1'));
    const [second] = await run(subject, aRunOrder('run-2', { pieces: ['other', 'piece-b'] }));
    assert.is(second?.reusedTokens, 0);
  });

  test('a full cache evicts the oldest pieces', { cachePieces: 2 }, async (subject) => {
    await run(subject, aRunOrder('run-1'));
    await run(subject, aRunOrder('run-2', { pieces: ['piece-c', 'piece-d'] }));
    const [again] = await run(subject, aRunOrder('run-3'));
    assert.is(again?.reusedTokens, 0);
  });

  test(
    'context exported to a store and imported by another engine leaves the answer unchanged',
    {},
    async (subject) => {
      const [store, other] = await Promise.all([startStore(), start({})]);
      const computed = await run(subject, aRunOrder('run-1'));
      const storeAddress = store.address;
      const body = { storeAddress, pieces: [...PIECES, 'not-held'], tier: 'memory' };
      const exported = await wire.call(subject.address, 'POST', '/v1/kv/export', body);
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

  test('imported pieces that the run does not adopt are not used', {}, async (subject) => {
    const store = await startStore();
    await run(subject, aRunOrder('run-1'));
    const lines = await run(subject, aRunOrder('run-2', { pieces: ['x', 'y'], adopted: ['x'] }));
    assert.is(lines[0]?.importedTokens, 0);
    await store.end();
  });
}

function describeReports(test: Test): void {
  test('reports start with a snapshot and number each cache change', {}, async (subject) => {
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

  test('a lost event leaves a gap, which a new snapshot closes', {}, async (subject) => {
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

  test('load reports carry running count and temperature', COLD_OPTIONS, async (subject) => {
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

  test('a run for another weight version is rejected before it starts', {}, async (subject) => {
    const body = aRunOrder('run-1', { weightVersion: 'v2' });
    assert.is((await wire.call(subject.address, 'POST', '/v1/runs', body)).status, 409);
    assert.is((await order(subject, 1)).status, 200);
    assert.is((await run(subject, body)).at(-1)?.kind, 'ended');
  });

  test(
    'an engine that checks fencing tokens rejects an old one',
    { checksFencing: true },
    async (subject) => {
      assert.is((await order(subject, 7)).status, 200);
      assert.is((await order(subject, 6)).status, 409);
      assert.is((await order(subject, 7)).status, 200);
    },
  );

  test(
    'an engine that does not check fencing tokens accepts an old one',
    { checksFencing: false },
    async (subject) => {
      assert.is((await order(subject, 7)).status, 200);
      assert.is((await order(subject, 6)).status, 200);
    },
  );
}
