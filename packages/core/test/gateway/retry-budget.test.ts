/**
 * Guards against retries beyond the bound of all instances together, as after a restart, when each
 * new process forgets what the one before it spent.
 */
import * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
import * as fastCheck from 'fast-check';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('gateway: shares of the retry budget');
const { retryBudget } = core.gateway;

const WINDOW_MS = 10_000;
const RATIO = 0.2;
const EXTRA = 54;

type Event = { atMs: number; instance: number; isRetry: boolean };

const events = (instances: number) =>
  fastCheck
    .array(
      fastCheck.record({
        atMs: fastCheck.nat(40_000),
        instance: fastCheck.nat(instances - 1),
        isRetry: fastCheck.boolean(),
      }),
      { maxLength: 400 },
    )
    .map((all) => [...all].sort((a, b) => a.atMs - b.atMs));

/** Plays the events and returns the times of requests and of granted retries. */
function play(all: readonly Event[], instances: number, restartAtMs: number) {
  const usages = Array.from({ length: instances }, () => retryBudget.unused);
  const granted: number[] = [];
  const requests: number[] = [];
  const started = { atMs: 0 };
  all.forEach(({ atMs, instance, isRetry }) => {
    if (atMs >= restartAtMs && started.atMs === 0) {
      started.atMs = restartAtMs;
      usages.fill(retryBudget.unused);
    }
    const limits = {
      windowMs: WINDOW_MS,
      retriesPerRequest: RATIO,
      extraRetries: EXTRA,
      instances,
      startedAtMs: started.atMs,
    };
    const usage = usages[instance] ?? retryBudget.unused;
    if (!isRetry) {
      requests.push(atMs);
      usages[instance] = retryBudget.recordRequest(usage, atMs, limits);
      return;
    }
    const next = retryBudget.spendRetry(usage, atMs, limits);
    if (!next) return;
    granted.push(atMs);
    usages[instance] = next;
  });
  return { granted, requests };
}

function within(times: readonly number[], endMs: number): number {
  return times.filter((time) => time > endMs - WINDOW_MS && time <= endMs).length;
}

suite(
  'all instances together keep the bound in every window, also when all of them restart',
  () => {
    fastCheck.assert(
      fastCheck.property(
        fastCheck.integer({ min: 1, max: 9 }).chain((instances) =>
          fastCheck.record({
            instances: fastCheck.constant(instances),
            all: events(instances),
            restartAtMs: fastCheck.integer({ min: 1, max: 40_000 }),
          }),
        ),
        ({ instances, all, restartAtMs }) => {
          const { granted, requests } = play(all, instances, restartAtMs);
          granted.forEach((endMs) => {
            const bound = RATIO * within(requests, endMs) + EXTRA;
            assert.ok(within(granted, endMs) <= bound, `${within(granted, endMs)} of ${bound}`);
          });
        },
      ),
      fixtures.seeded(),
    );
  },
);

suite('a process that has just started has no extra retries yet', () => {
  const limits = {
    windowMs: WINDOW_MS,
    retriesPerRequest: RATIO,
    extraRetries: EXTRA,
    instances: 1,
    startedAtMs: 1_000,
  };
  assert.is(retryBudget.spendRetry(retryBudget.unused, 1_000, limits), undefined);
  assert.ok(retryBudget.spendRetry(retryBudget.unused, 6_000, limits));
});

suite.run();
