/** Placement of streams that are resumed: at their software version, and before new ones. */
import * as fixtures from '@medlarweir/core/fixtures';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('fleet: placement of resumed streams');

const TWO = [fixtures.aListedUpstream('u-1'), fixtures.aListedUpstream('u-2')];

/** Guards against streams that broke off and are refused more often than new ones begin. */
suite('a resumed stream is taken where a new request would wait too long', () => {
  const state = fixtures.aFleet(TWO);
  const place = (at: number, isResumed: boolean) =>
    fixtures.placedUpstream(state, fixtures.aPlacementRequest({ requestId: `r-${at}`, isResumed }));
  Array.from({ length: 200 }, (_, at) => place(at, false));
  assert.is(place(200, false), 'full');
  const resumed = Array.from({ length: 200 }, (_, at) => place(201 + at, true));
  assert.is.not(resumed[0], 'full');
  assert.is(resumed.at(-1), 'full', 'its wait has a limit as well');
});

suite('a stream is placed at its software version alone', () => {
  const state = fixtures.aFleet([
    fixtures.aListedUpstream('u-1', { softwareVersion: 'v1' }),
    fixtures.aListedUpstream('u-2', { softwareVersion: 'v2' }),
  ]);
  const place = (softwareVersion: string) =>
    fixtures.placedUpstream(state, fixtures.aPlacementRequest({ softwareVersion }));
  assert.is(place('v1'), 'u-1');
  assert.is(place('v2'), 'u-2');
  assert.is(place('v3'), 'software-version-gone');
});

suite.run();
