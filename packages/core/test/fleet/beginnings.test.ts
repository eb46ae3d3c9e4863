/** Guards against a stream that begins at a version of upstreams' software before that is recorded. */
import * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('versions at which streams may begin');

/** A fleet with one upstream, of a version that is not recorded. */
function aFleetOfAnUnrecordedVersion() {
  const listed = [fixtures.aListedUpstream('u-2', { softwareVersion: 'v2' })];
  return fixtures.aFleet(listed, { beginnings: new Map([['models', ['v1']]]) });
}

function placedAt(changed: Partial<core.fleet.placement.Request>): string {
  return fixtures.placedUpstream(
    aFleetOfAnUnrecordedVersion(),
    fixtures.aPlacementRequest(changed),
  );
}

suite('a stream that can be taken up does not begin there', () => {
  assert.is(placedAt({ beginsStream: true }), 'none-usable');
});

suite('other requests run there', () => {
  assert.is(placedAt({ beginsStream: false }), 'u-2');
});

suite('a stream of that version goes on there', () => {
  assert.is(placedAt({ beginsStream: false, softwareVersion: 'v2', isResumed: true }), 'u-2');
});

suite('a service that is not named is not restricted', () => {
  const fleet = fixtures.aFleet([fixtures.aListedUpstream('u-2', { softwareVersion: 'v2' })]);
  const request = fixtures.aPlacementRequest({ beginsStream: true });
  assert.is(fixtures.placedUpstream(fleet, request), 'u-2');
});

suite('a service may have the name of a property that each object has', () => {
  const listed = [
    fixtures.aListedUpstream('u-2', { softwareVersion: 'v2', service: 'constructor' }),
  ];
  const services = new Map([['constructor', fixtures.aService({ name: 'constructor' })]]);
  const fleet = fixtures.aFleet(listed, { services, beginnings: new Map([['models', ['v1']]]) });
  const request = fixtures.aPlacementRequest({ beginsStream: true, service: 'constructor' });
  assert.is(fixtures.placedUpstream(fleet, request), 'u-2');
});

suite.run();
