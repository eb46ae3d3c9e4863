/**
 * Guards against two holders of one lease acting at the same time, and against a lease that nobody
 * takes over. Either can follow from paused or restarted processes, clocks that run at different
 * rates, lost responses, and writes and effects that arrive late.
 */
import * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
import * as fastCheck from 'fast-check';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('leases');

const RUN_MS = 180_000;
const LAST_FAULT_MS = 120_000;

const atMs = fastCheck.integer({ min: 0, max: LAST_FAULT_MS - 40_000 });
const forMs = fastCheck.integer({ min: 100, max: 40_000 });
const who = fastCheck.integer({ min: 0, max: 2 });
const fault = fastCheck.oneof(
  fastCheck.record({ kind: fastCheck.constant('pause' as const), atMs, forMs, who }),
  fastCheck.record({ kind: fastCheck.constant('restart' as const), atMs, who }),
  fastCheck.record({ kind: fastCheck.constant('release' as const), atMs, who }),
  fastCheck.record({
    kind: fastCheck.constant('restore' as const),
    atMs,
    agoMs: fastCheck.integer({ min: 100, max: 12_000 }),
  }),
  fastCheck.record({
    kind: fastCheck.constantFrom('outage' as const, 'lost-answers' as const, 'slow' as const),
    atMs,
    forMs,
  }),
);
const faults = fastCheck.array(fault, { maxLength: 8 });
const delays = fastCheck.array(fastCheck.double({ min: 0, max: 1, noNaN: true }), {
  minLength: 7,
  maxLength: 23,
});

/** Whether an effect of one holder was in flight when a later holder sent one. */
function overlaps(effects: readonly fixtures.Effect[]): boolean {
  return effects.some((early) =>
    effects.some((late) => late.fencing > early.fencing && late.sentAtMs < early.arrivedAtMs),
  );
}

/** Long deliveries exercise the grace period; short ones exercise the term itself. */
const DELIVERIES_MS = [5_000, 100];

DELIVERIES_MS.forEach((maxDeliveryMs) => {
  suite(`effects of two holders never overlap with deliveries of up to ${maxDeliveryMs} ms`, () => {
    fastCheck.assert(
      fastCheck.property(faults, delays, (given, used) => {
        const world = fixtures.aLeaseSimulation(given, used, { maxDeliveryMs });
        world.timeline.advance(RUN_MS);
        const numbers = world.acquired.map(({ fencing }) => fencing);
        assert.is(new Set(numbers).size, numbers.length, 'a fencing token was issued twice');
        const accepted = world.accepted.map(({ fencing }) => fencing);
        const sorted = [...accepted].sort((a, b) => a - b);
        assert.equal(accepted, sorted, 'an old fencing token was accepted');
        assert.not.ok(
          overlaps(world.unchecked),
          'effects overlap at the upstream that does not check fencing',
        );
      }),
      fixtures.seeded(150),
    );
  });
});

suite('a holder acts again at most two terms after the last fault', () => {
  fastCheck.assert(
    fastCheck.property(faults, delays, (given, used) => {
      const world = fixtures.aLeaseSimulation(given, used);
      world.timeline.advance(RUN_MS);
      assert.ok(world.unchecked.some(({ sentAtMs }) => sentAtMs > LAST_FAULT_MS + 30_000));
    }),
    fixtures.seeded(100),
  );
});

suite('after a release the next holder acquires the lease without waiting for the term', () => {
  const world = fixtures.aLeaseSimulation([{ kind: 'release', atMs: 5_000, who: 0 }], [0.5]);
  world.timeline.advance(16_000);
  assert.is(world.acquired[0]?.who, 0);
  assert.is.not(world.acquired[1]?.who, undefined);
});

suite('a holder whose record is lost in a restore takes the lease again within its term', () => {
  const restore: fixtures.LeaseFault = { kind: 'restore', atMs: 5_000, agoMs: 4_990 };
  const world = fixtures.aLeaseSimulation([restore], [0.5]);
  world.timeline.advance(10_000);
  assert.equal(
    world.acquired.map(({ who: holder }) => holder),
    [0, 0],
  );
});

suite('a paused holder that wakes after the next holder has acted sends nothing', () => {
  const pause: fixtures.LeaseFault = { kind: 'pause', atMs: 4_000, forMs: 40_000, who: 0 };
  const world = fixtures.aLeaseSimulation([pause], [0.5]);
  world.timeline.advance(60_000);
  const holders = [...new Set(world.unchecked.map(({ who: sender }) => sender))];
  assert.is(holders.length, 2, 'a second holder acted');
  assert.ok(world.unchecked.every((each) => each.who !== 0 || each.sentAtMs < 4_000));
});

/** Each row gives the age of a lease and whether its holder may send an effect then. */
const CHECKS: readonly {
  name: string;
  sinceMs: number;
  checksFencing: boolean;
  wallAheadMs?: number;
  expected: string;
}[] = [
  {
    name: 'just acquired, upstream checks fencing',
    sinceMs: 0,
    checksFencing: true,
    expected: 'granted',
  },
  {
    name: 'within the grace period, upstream does not check fencing',
    sinceMs: 4_999,
    checksFencing: false,
    expected: 'grace-period',
  },
  {
    name: 'after the grace period, upstream does not check fencing',
    sinceMs: 5_000,
    checksFencing: false,
    expected: 'granted',
  },
  {
    name: 'just before the margin at the end of the term',
    sinceMs: 8_999,
    checksFencing: true,
    expected: 'granted',
  },
  {
    name: 'within the margin at the end of the term',
    sinceMs: 9_000,
    checksFencing: true,
    expected: 'expired',
  },
  {
    name: 'monotonic clock stopped while the machine was suspended',
    sinceMs: 1_000,
    wallAheadMs: 9_000,
    checksFencing: true,
    expected: 'expired',
  },
];

CHECKS.forEach(({ name, sinceMs, checksFencing, wallAheadMs = 0, expected }) => {
  suite(`permission for an effect: ${name}`, () => {
    const held = aHeldLease();
    const at = fixtures.anInstant(sinceMs);
    const now = { ...at, wallMs: at.wallMs + wallAheadMs };
    const permission = core.leases.permit(held, { checksFencing }, now);
    const found = permission.kind === 'granted' ? permission.kind : permission.reason;
    assert.is(found, expected);
  });
});

suite(
  'a renewal whose response was lost is recognised by its write id and keeps the fencing token',
  () => {
    const held = aHeldLease();
    const due = core.leases.wake(held, fixtures.anInstant(3_000));
    const lost = answer(due, fixtures.anUnavailableAnswer(), 5_000);
    const again = core.leases.wake(lost.state, fixtures.anInstant(5_500));
    const write = again.commands.find((each) => each.kind === 'lease-write');
    assert.ok(write?.kind === 'lease-write');
    const current = { key: write.key, version: 9, value: write.value, writeId: write.writeId };
    const resolved = answer(again, { kind: 'conflict', current }, 5_600);
    const permission = core.leases.permit(
      resolved.state,
      { checksFencing: true },
      fixtures.anInstant(11_999),
    );
    assert.equal(permission, { kind: 'granted', fencing: 8, sendBeforeMs: 12_000 });
  },
);

/** A lease that was taken over from a holder that released it, at time zero of the test clock. */
function aHeldLease(): core.leases.Lease {
  const now = fixtures.anInstant();
  const options = core.leases.defaultOptions('leases/test', 'instance-1', 'incarnation-1');
  const reading = core.leases.acquire(core.leases.create(options), now);
  const record = { holder: 'x', incarnation: 'x', termMs: 10_000, state: 'released' };
  const object = { key: options.key, version: 7, value: record, writeId: 'x' };
  const acquiring = answer(reading, { kind: 'object', object });
  const held = answer(acquiring, { kind: 'written', version: 8 });
  assert.ok(held.commands.some((each) => each.kind === 'lease-acquired' && each.fencing === 8));
  return held.state;
}

function answer(
  { state, commands }: core.leases.Step,
  given: core.messages.PlatformAnswer,
  sinceStartMs = 0,
): core.leases.Step {
  const call = commands.find((each) => 'correlationId' in each);
  const correlationId = call && 'correlationId' in call ? call.correlationId : '';
  const message = { type: 'platform.answered' as const, correlationId, answer: given };
  return core.leases.onPlatformAnswer(state, message, fixtures.anInstant(sinceStartMs));
}

suite.run();
