/** The rate of requests to a cold upstream holds over all instances, without coordination between them. */
import * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
import * as fastCheck from 'fast-check';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('fleet: rate limit of a cold upstream');

const BOUND = 14 * fixtures.FLEET_BOUNDS.coldOverrun + fixtures.FLEET_BOUNDS.coldSlack;

/** Instances that each see one cold upstream. */
function instances(count: number): readonly core.fleet.state.State[] {
  const members = Array.from({ length: count }, (_, at) => `instance-${at}`);
  const cold = fixtures.aListedUpstream('u-1', { coldRemainingMs: 60_000 });
  return members.map((instance) => fixtures.aFleet([cold], { instance, members }));
}

/** A request that is never refused for queued work, so that only the cold rate limits sends. */
function requestAt(at: number) {
  return fixtures.aPlacementRequest({ requestId: `request-${at}`, mayRefuse: false });
}

suite('all instances together stay within the cold bound in any second, for any arrivals', () => {
  fastCheck.assert(
    fastCheck.property(
      fastCheck.integer({ min: 1, max: 80 }),
      fastCheck.array(fastCheck.record({ atMs: fastCheck.nat(4_000), by: fastCheck.nat(79) }), {
        minLength: 100,
        maxLength: 300,
      }),
      (count, arrivals) => {
        const fleet = instances(count);
        const sent = [...arrivals]
          .sort((a, b) => a.atMs - b.atMs)
          .filter(({ atMs, by }, at) => {
            const state = fleet[by % count];
            const placed =
              state && fixtures.placedUpstream(state, requestAt(at), fixtures.anInstant(atMs));
            return placed === 'u-1';
          })
          .map(({ atMs }) => atMs);
        sent.forEach((endMs) => {
          const inSecond = sent.filter((atMs) => atMs > endMs - 1_000 && atMs <= endMs).length;
          assert.ok(inSecond <= BOUND, `${inSecond} in a second of ${count} instances`);
        });
      },
    ),
    fixtures.seeded(40),
  );
});

suite('instances together use at least 80% of the cold rate', () => {
  const fleet = instances(7);
  const sent = Array.from({ length: 4_000 }, (_, atMs) => atMs).filter((atMs) => {
    const state = fleet[atMs % 7];
    return (
      state && fixtures.placedUpstream(state, requestAt(atMs), fixtures.anInstant(atMs)) === 'u-1'
    );
  });
  assert.ok(sent.length >= 4 * 14 * 0.8, `${sent.length} in four seconds`);
});

suite('an instance with an unknown member list sends nothing to a cold upstream', () => {
  const cold = fixtures.aListedUpstream('u-1', { coldRemainingMs: 60_000 });
  assert.is(fixtures.placedUpstream(fixtures.aFleet([cold], { members: [] })), 'cold');
});

suite('a warm upstream is preferred to a cold one', () => {
  const cold = fixtures.aListedUpstream('u-1', { coldRemainingMs: 3_000 });
  const state = fixtures.aFleet([cold, fixtures.aListedUpstream('u-2')]);
  assert.is(fixtures.placedUpstream(state), 'u-2');
});

suite.run();
