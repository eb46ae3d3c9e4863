/** Assigned retry times: recognised everywhere, heeded by callers, and harmless when clocks are wrong. */
import * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
import * as fc from 'fast-check';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('returns: retry time');
const { retryTime, slots, assigned } = core.returns;

const refused = fc.record({
  content: fc.string({ minLength: 8, maxLength: 32 }),
  routeTimeoutMs: fc.constantFrom(1_000, 2_500, 3_000, 12_000, 15_000),
  remainingMs: fc.integer({ min: 0, max: 15_000 }),
  freeInMs: fc.option(fc.integer({ min: 0, max: 5_000 }), { nil: undefined }),
});
const wallTime = fc.integer({ min: 0, max: 2_000_000_000_000 });

suite(
  'a caller returns within a third of the time that it has left, after capacity is free',
  () => {
    const property = fc.property(refused, wallTime, (given, wallMs) => {
      const { retryAfterMs } = retryTime.assign(given, wallMs);
      const heededMs = Math.floor(given.remainingMs / 3);
      const earliestMs = Math.max(retryTime.MIN_RETRY_AFTER_MS, given.freeInMs ?? 0);
      assert.ok(retryAfterMs >= 0 && retryAfterMs <= heededMs);
      assert.ok(retryAfterMs >= Math.min(heededMs, earliestMs) - 1);
    });
    fc.assert(property, fixtures.seeded());
  },
);

suite('the assigned time is recognised by an instance whose clock is some ms wrong', () => {
  const error = fc.integer({ min: -15, max: 15 });
  const property = fc.property(refused, wallTime, error, (given, wallMs, errorMs) => {
    const { retryAfterMs, hasPrecedence } = retryTime.assign(given, wallMs);
    if (!hasPrecedence) return;
    const { content, routeTimeoutMs } = given;
    const atMs = wallMs + retryAfterMs + errorMs;
    const isAtEdge = retryAfterMs === Math.floor(given.remainingMs / 3);
    assert.ok(isAtEdge || slots.hasPrecedence(content, routeTimeoutMs, atMs));
  });
  fc.assert(property, fixtures.seeded());
});

suite('at its first refusal a caller always has a slot that it heeds', () => {
  const property = fc.property(refused, wallTime, (given, wallMs) => {
    const remainingMs = given.routeTimeoutMs;
    if (remainingMs < 2_500) return;
    const assignedTime = retryTime.assign({ ...given, remainingMs, freeInMs: 0 }, wallMs);
    assert.ok(assignedTime.hasPrecedence, JSON.stringify(assignedTime));
  });
  fc.assert(property, fixtures.seeded());
});

/** Guards against a gain from coming back at once and often. */
suite('a request has precedence in about a sixth of the time, whenever it is sent', () => {
  const routeTimeoutMs = 12_000;
  Array.from({ length: 20 }, (_, n) => `content-${n}`).forEach((content) => {
    const times = Array.from({ length: 3_000 }, (_, n) => n * 10);
    const held = times.filter((ms) => slots.hasPrecedence(content, routeTimeoutMs, ms)).length;
    assert.ok(held / times.length > 0.15 && held / times.length < 0.22, `${held}`);
  });
});

/** Guards against precedence that is held for ever after a jump of the wall clock. */
suite('wherever the wall clock jumps, the next slot of a request comes within one cycle', () => {
  const property = fc.property(refused, fc.integer(), ({ content, routeTimeoutMs }, wallMs) => {
    const untilMs = slots.untilSlotMs(content, routeTimeoutMs, wallMs, 0);
    assert.ok(untilMs >= 0 && untilMs <= 6 * slots.lengthMs(routeTimeoutMs));
    assert.ok(slots.hasPrecedence(content, routeTimeoutMs, wallMs + untilMs + 1));
  });
  fc.assert(property, fixtures.seeded());
});

suite('callers that are refused together do not return together', () => {
  const times = Array.from({ length: 60 }, (_, n) =>
    retryTime.assign(
      { content: `c-${n}`, routeTimeoutMs: 12_000, remainingMs: 12_000, freeInMs: 0 },
      1_000_000,
    ),
  ).map(({ retryAfterMs }) => retryAfterMs);
  const inAnySlot = (from: number) => times.filter((ms) => ms >= from && ms < from + 250).length;
  assert.ok(Math.max(...times.map(inAnySlot)) <= 30);
});

suite('returns are told apart by their assigned time, in bounded memory', () => {
  const known: core.returns.assigned.Assigned = new Map();
  Array.from({ length: 3_000 }).forEach((_, n) => assigned.record(known, `c-${n}`, 5_000));
  assert.is(known.size, 1_024);
  assert.is(assigned.take(known, 'c-2999', 12_000, 1_000), 'early');
  assert.is(assigned.take(known, 'c-2998', 12_000, 5_100), 'met');
  assert.is(assigned.take(known, 'c-2997', 12_000, 9_000), 'late');
  assert.is(assigned.take(known, 'c-2997', 12_000, 9_000), undefined);
});

suite.run();
