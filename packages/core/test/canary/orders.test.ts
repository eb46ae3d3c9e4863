/** Orders of canary releases as operators change them, and the writes of their status. */
import * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('canary: orders');
const { canaryWorld } = fixtures;

type State = core.canary.State;
type Step = core.canary.Step;

function anOrder(to: string, changed: Partial<core.canary.Order> = {}): core.canary.Order {
  const usual = {
    name: 'desk',
    service: 'desk',
    durationMs: 60_000,
    status: undefined,
    version: 1,
  };
  return { ...usual, to, ...changed };
}

function read(
  state: State,
  orders: readonly core.canary.Order[],
  changed: Partial<core.messages.OrdersRead> = {},
): Step {
  const message = {
    type: 'canary.orders-read' as const,
    orders,
    removed: [],
    unreadable: [],
    isSnapshot: false,
    isFromCopy: false,
    ...changed,
  };
  return core.canary.decide(state, message, fixtures.anInstant());
}

function aTask(): State {
  const options = core.leases.defaultOptions('leases/canary', 'instance-1', 'life-1');
  return core.canary.initial('instance-1', options, canaryWorld.BOUNDS);
}

function applied({ commands }: Step): readonly core.canary.Release[] {
  return commands.flatMap((each) => (each.kind === 'apply' ? each.releases : [])).slice(-1);
}

const running = (to: string) => ({ state: 'running' as const, to });

/** Guards against an unproven version that gets its whole part once another order names a third one. */
suite('a second order shuns the version of the first unless that was completed', () => {
  const first = read(aTask(), [anOrder('v2', { status: running('v2') })]);
  const second = read(first.state, [anOrder('v3', { version: 2 })]);
  assert.equal(applied(second)[0]?.shunned, ['v2']);
  const completed = anOrder('v2', { status: { state: 'completed', to: 'v2' }, version: 2 });
  const done = read(first.state, [completed]);
  const third = read(done.state, [anOrder('v3', { version: 3 })]);
  assert.equal(applied(third)[0]?.shunned, []);
  assert.is(applied(third)[0]?.stage, 'unproven');
});

suite('a removed order stops its version; an entry that cannot be read does not', () => {
  const { state } = read(aTask(), [anOrder('v2')]);
  const unreadable = read(state, [], { isSnapshot: true, unreadable: ['desk'] });
  assert.is(applied(unreadable)[0]?.stage, 'unproven');
  assert.is(applied(read(state, [], { removed: ['desk'] }))[0]?.stage, 'stopped');
});

/** Guards against a bad version that comes back with an old copy of the store. */
suite('an old copy does not undo a rollback, the operator’s new order does', () => {
  const first = read(aTask(), [anOrder('v2')]);
  const status = { state: 'rolled_back' as const, to: 'v2' };
  const { state } = read(first.state, [anOrder('v2', { status, version: 2 })]);
  const restored = read(state, [anOrder('v2', { status: running('v2') })], { isFromCopy: true });
  assert.is(applied(restored)[0]?.stage, 'stopped');
  const again = read(state, [anOrder('v2', { version: 3 })]);
  assert.is(applied(again)[0]?.stage, 'unproven');
});

/** Guards against a lost answer that ends the release, or a second write over another one's. */
suite('a write without an answer is sent again at the version that the watch tells', () => {
  const ordered = read(aTask(), [anOrder('v2')]).state;
  const [lease] = [{ ...ordered.lease, phase: heldPhase() }];
  const tick = (state: State, ms: number) =>
    core.canary.decide(state, { type: 'canary.tick' }, fixtures.anInstant(ms));
  const writes = ({ commands }: Step) =>
    commands.flatMap((each) => (each.kind === 'write-status' ? [each] : []));
  const sent = tick({ ...ordered, lease }, 500);
  const [write] = writes(sent);
  assert.equal(write?.status, running('v2'));
  assert.is(writes(tick(sent.state, 1_000)).length, 0, 'one write at a time');
  const failure = core.results.failure('platformUnavailable', 'lost');
  const lost = core.canary.decide(
    sent.state,
    {
      type: 'platform.answered',
      correlationId: write?.correlationId ?? '',
      answer: { kind: 'unavailable', failure },
    },
    fixtures.anInstant(1_500),
  );
  const [again] = writes(tick(lost.state, 2_500));
  assert.is(again?.expectedVersion, 1);
  const told = read(lost.state, [anOrder('v2', { status: running('v2'), version: 2 })]);
  assert.is(writes(tick(told.state, 2_500)).length, 0, 'it had taken effect');
});

function heldPhase(): core.leases.Phase {
  const expiresAt = fixtures.anInstant(60_000);
  const grant = { fencing: 1, version: 1, expiresAt, graceUntilMs: 0 };
  return { kind: 'held', grant, renewal: undefined };
}

/** Guards against counts of unbounded size in memory and in datagrams. */
suite('the kinds of requests that are told apart are bounded', () => {
  const sample = { service: 'desk', softwareVersion: 'v2', isFailure: false, latencyMs: 5 };
  const cells = Array.from({ length: 100 }, (_, at) => at).reduce<core.canary.Cells>(
    (sum, at) =>
      core.canary.evidence.record(sum, { ...sample, route: `r-${at}`, promptTokens: at }, 'next'),
    {},
  );
  assert.is(Object.keys(cells).length, core.canary.evidence.MAX_CELLS);
  assert.is(core.canary.evidence.total(cells, 'next').responses, 100);
});

suite.run();
