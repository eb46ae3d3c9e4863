/**
 * Guards against calls to the platform for a lease that nobody needs, against calls of all instances at
 * the same moment when one is needed, and against a rollout that nobody carries out.
 */
import * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('lease demand');

type Command = core.rollouts.Command;

const KEY = 'leases/orders';
const NAMES = Array.from({ length: 87 }, (_, at) => `instance-${at}`);
const ROLLOUT_MS = 8_000;
const TICK_MS = 100;

/** One instance whose lease record belongs to nobody, or to `otherHolder`. */
function anInstance(name: string, otherHolder?: string) {
  const terms = { ...core.leases.defaultOptions(KEY, name, name), termMs: 3_000, marginMs: 300 };
  const instance = {
    state: core.rollouts.initial(terms, ROLLOUT_MS),
    nowMs: 0,
    reads: 0,
    writes: 0,
    wakes: 0,
  };
  const send = (message: core.messages.RolloutsMessage) => {
    const now = fixtures.anInstant(instance.nowMs);
    const { state, commands } = core.rollouts.decide(instance.state, message, now);
    instance.state = state;
    commands.forEach(carryOut);
  };
  const answer = (correlationId: string, given: core.messages.PlatformAnswer) =>
    send({ type: 'platform.answered', correlationId, answer: given });
  const carryOut = (command: Command) => {
    if (command.kind === 'wake') instance.wakes += 1;
    if (command.kind === 'lease-read') {
      instance.reads += 1;
      answer(command.correlationId, recordOf(otherHolder));
    }
    if (command.kind === 'lease-write') {
      instance.writes += 1;
      answer(command.correlationId, { kind: 'written', version: instance.writes });
    }
  };
  const pass = (ms: number) => {
    for (let passed = 0; passed < ms; passed += TICK_MS) {
      instance.nowMs += TICK_MS;
      send({ type: 'rollouts.lease-tick' });
      send({ type: 'rollouts.tick' });
    }
  };
  send({ type: 'task.start' });
  send({ type: 'rollouts.members-changed', names: NAMES });
  return { instance, send, pass };
}

function recordOf(holder: string | undefined): core.messages.PlatformAnswer {
  if (holder === undefined) return { kind: 'missing' };
  const value = { holder, incarnation: holder, termMs: 3_000, state: 'held' };
  return { kind: 'object', object: { key: KEY, version: 5, value, writeId: 'w' } };
}

function nameNewWeights({ instance, send }: ReturnType<typeof anInstance>): void {
  const versions = { 'model-1': 1 };
  const upstreams = [{ id: 'u', address: 'u:1', versions, isReachable: true }];
  send({ type: 'rollouts.upstreams-changed', upstreams });
  send({
    type: 'rollouts.target-versions-changed',
    versions: { 'model-1': 2 },
    namedAfter: fixtures.anInstant(instance.nowMs),
  });
}

function finish({ send }: ReturnType<typeof anInstance>): void {
  const upstreams = [{ id: 'u', address: 'u:1', versions: { 'model-1': 2 }, isReachable: true }];
  send({ type: 'rollouts.upstreams-changed', upstreams });
}

const RANKED = core.membership.rank(KEY, NAMES);

suite('an instance without orders makes no call and is not woken', () => {
  const given = anInstance(String(RANKED[0]));
  given.send({ type: 'rollouts.stores-changed', stores: [], obsoleteParts: [] });
  assert.equal([given.instance.reads, given.instance.writes, given.instance.wakes], [0, 0, 0]);
});

suite('the instance that ranks first acquires the lease at once when new weights are named', () => {
  const given = anInstance(String(RANKED[0]));
  nameNewWeights(given);
  assert.is(given.instance.state.lease.phase.kind, 'held');
});

suite('of 87 instances, one in eight at most calls the platform during a rollout of 5 s', () => {
  const callers = NAMES.filter((name) => {
    const given = anInstance(name, name === RANKED[0] ? undefined : RANKED[0]);
    nameNewWeights(given);
    given.pass(4_000);
    finish(given);
    given.pass(1_000);
    return given.instance.reads + given.instance.writes > 0;
  });
  assert.ok(callers.length <= NAMES.length / 8, `${callers.length} call the platform`);
});

suite('the instance that ranks second takes over when the first one is gone', () => {
  const given = anInstance(String(RANKED[1]));
  nameNewWeights(given);
  assert.is(given.instance.reads, 0);
  given.pass(600);
  assert.is(given.instance.state.lease.phase.kind, 'held');
});

suite('an instance that does not know the members acquires the lease after a second', () => {
  const given = anInstance(String(RANKED[0]));
  given.send({ type: 'rollouts.members-changed', names: [] });
  nameNewWeights(given);
  assert.is(given.instance.reads, 0);
  given.pass(1_100);
  assert.is(given.instance.state.lease.phase.kind, 'held');
});

suite('the lease is released once all upstreams have the new weights, and acquired again', () => {
  const given = anInstance(String(RANKED[0]));
  nameNewWeights(given);
  finish(given);
  given.pass(2_500);
  assert.is(given.instance.state.lease.phase.kind, 'idle');
  const { writes } = given.instance;
  given.pass(5_000);
  assert.is(given.instance.writes, writes, 'no renewal of a lease that was released');
  given.send({
    type: 'rollouts.target-versions-changed',
    versions: { 'model-1': 3 },
    namedAfter: fixtures.anInstant(given.instance.nowMs),
  });
  assert.is(given.instance.state.lease.phase.kind, 'held');
});

suite.run();
