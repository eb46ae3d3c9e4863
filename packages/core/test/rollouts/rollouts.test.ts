/**
 * Orders for new weights. Two lease holders, or a holder whose lease has expired, must not both order loads;
 * busy or draining upstreams must not be ordered too early.
 */
import * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('rollouts');

type Message = core.messages.RolloutsMessage;
type Command = core.rollouts.Command;

const TERMS = {
  ...core.leases.defaultOptions('leases/orders', 'instance-1', 'life-1'),
  termMs: 3_000,
  marginMs: 300,
};

const ROLLOUT_MS = 8_000;

function anUpstream(id: string, version: number) {
  return { id, address: `${id}:1`, versions: { 'model-1': version }, isReachable: true };
}

/** The state of the rollouts task; the test sends its messages and answers its platform calls. */
function aRollout() {
  const rollout = {
    state: core.rollouts.initial(TERMS, ROLLOUT_MS),
    nowMs: 0,
    commands: [] as Command[],
  };
  const send = (message: Message, afterMs = 0) => {
    rollout.nowMs += afterMs;
    const step = core.rollouts.decide(rollout.state, message, fixtures.anInstant(rollout.nowMs));
    rollout.state = step.state;
    rollout.commands.push(...step.commands);
    return step.commands;
  };
  const answer = (correlationId: string, given: core.messages.PlatformAnswer) =>
    send({ type: 'platform.answered', correlationId, answer: given });
  return { rollout, send, answer };
}

type Rollout = ReturnType<typeof aRollout>;

function correlationIdOf(commands: readonly Command[], kind: 'lease-read' | 'lease-write'): string {
  const found = commands.find((each) => each.kind === kind);
  return found && 'correlationId' in found ? found.correlationId : '';
}

const OBSOLETE = { store: 'a', epoch: 1, parts: [{ salt: 's', id: 'p' }] };

/** Lets the instance acquire the lease with fencing token 7, to free parts of a store. */
function acquire({ send, answer }: Rollout): void {
  send({ type: 'task.start' });
  send({ type: 'rollouts.members-changed', names: ['instance-1'] });
  const needed = send({ type: 'rollouts.stores-changed', stores: [], obsoleteParts: [OBSOLETE] });
  const read = correlationIdOf(needed, 'lease-read');
  const write = correlationIdOf(answer(read, { kind: 'missing' }), 'lease-write');
  answer(write, { kind: 'written', version: 7 });
}

function orders(commands: readonly Command[]): readonly core.messages.WeightsOrder[] {
  return commands.flatMap((each) => (each.kind === 'order' ? [each.order] : []));
}

function report(upstream: string, version: number, acceptedOrders = 0, isBusy = false): Message {
  const models = [{ model: 'model-1', version }];
  const answer = { kind: 'report' as const, report: { acceptedOrders, isBusy, models } };
  return { type: 'rollouts.status-answered', upstream, answer };
}

const IDS = ['u-1', 'u-2', 'u-3', 'u-4', 'u-5', 'u-6', 'u-7', 'u-8', 'u-9', 'u-10', 'u-11', 'u-12'];

function name({ rollout, send }: Rollout, version: number): readonly Command[] {
  const namedAfter = fixtures.anInstant(rollout.nowMs);
  return send({
    type: 'rollouts.target-versions-changed',
    versions: { 'model-1': version },
    namedAfter,
  });
}

/** Sets a new target version; returns the upstreams asked for a status once the wave has quiesced. */
function begin(given: Rollout): readonly string[] {
  const upstreams = IDS.map((id) => anUpstream(id, 1));
  given.send({ type: 'rollouts.upstreams-changed', upstreams });
  name(given, 2);
  const commands = given.send({ type: 'rollouts.tick' }, 700);
  return commands.flatMap((each) => (each.kind === 'request-report' ? [each.upstream] : []));
}

suite('an instance without the lease sends no status requests', () => {
  const given = aRollout();
  given.send({ type: 'task.start' });
  assert.equal(begin(given), []);
});

suite(
  'a quiesced wave is asked for its status, then ordered with fencing token and expected order count',
  () => {
    const given = aRollout();
    acquire(given);
    const wave = begin(given);
    assert.is(wave.length, 2);
    const [order] = orders(given.send(report(String(wave[0]), 1, 3)));
    assert.is(order?.fencing, 7);
    assert.is(order?.expectedAcceptedOrders, 3);
    assert.is(order?.version, 2);
  },
);

suite('an upstream is not asked before the quiesce time has passed', () => {
  const given = aRollout();
  acquire(given);
  given.send({ type: 'rollouts.upstreams-changed', upstreams: IDS.map((id) => anUpstream(id, 1)) });
  name(given, 2);
  const commands = given.send({ type: 'rollouts.tick' }, 600);
  assert.not.ok(commands.some(({ kind }) => kind === 'request-report'));
});

suite('a busy upstream, or one that has the weights already, receives no order', () => {
  const given = aRollout();
  acquire(given);
  const [first = '', second = ''] = begin(given);
  assert.equal(orders(given.send(report(first, 1, 0, true))), []);
  assert.equal(orders(given.send(report(second, 2))), []);
});

suite(
  'a new version that an upstream reports is passed on at once, ahead of the platform’s list',
  () => {
    const given = aRollout();
    acquire(given);
    const [first = ''] = begin(given);
    given.send(report(first, 1));
    const commands = given.send(report(first, 2, 1));
    const reported = commands.find((each) => each.kind === 'report-version');
    assert.is(reported?.kind === 'report-version' && reported.version, 2);
  },
);

suite('a target version set during a rollout is used in the next order', () => {
  const given = aRollout();
  acquire(given);
  const [first = ''] = begin(given);
  name(given, 3);
  assert.is(orders(given.send(report(first, 1)))[0]?.version, 3);
});

suite('no order is sent once the lease may have expired', () => {
  const given = aRollout();
  acquire(given);
  const [first = ''] = begin(given);
  given.rollout.nowMs += 2_100;
  assert.equal(orders(given.send(report(first, 1))), []);
});

suite('no order is sent after a suspension that only the wall clock shows', () => {
  const given = aRollout();
  acquire(given);
  const [first = ''] = begin(given);
  const { wallMs } = fixtures.anInstant(10_000);
  const now = { monotonicMs: 10, wallMs };
  const step = core.rollouts.decide(given.rollout.state, report(first, 1), now);
  assert.equal(orders(step.commands), []);
});

suite('the holder sends no more orders once an upstream has seen a higher fencing token', () => {
  const given = aRollout();
  acquire(given);
  const [first = '', second = ''] = begin(given);
  given.send(report(first, 1));
  given.send({ type: 'rollouts.order-answered', upstream: first, answer: 'fenced-off' });
  assert.equal(orders(given.send(report(second, 1))), []);
});

suite('a draining instance sends no more orders', () => {
  const given = aRollout();
  acquire(given);
  const [first = ''] = begin(given);
  given.send({ type: 'task.drain' });
  assert.equal(orders(given.send(report(first, 1))), []);
});

suite('only the lease holder frees obsolete parts, and each list once', () => {
  const stores = [fixtures.aContextStore('a')];
  const obsoleteParts = [OBSOLETE];
  const frees = (given: Rollout) => {
    const commands = given.send({ type: 'rollouts.tick' });
    return commands.filter(({ kind }) => kind === 'free').length;
  };
  const other = aRollout();
  other.send({ type: 'rollouts.stores-changed', stores, obsoleteParts });
  assert.is(frees(other), 0);
  const holder = aRollout();
  acquire(holder);
  holder.send({ type: 'rollouts.stores-changed', stores, obsoleteParts });
  assert.equal([frees(holder), frees(holder)], [1, 0]);
});

suite.run();
