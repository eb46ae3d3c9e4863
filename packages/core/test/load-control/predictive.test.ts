/** Guards against predictive load control in deployments that neither ask for it nor report slowdowns. */
import * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('load control: where it is predictive');

const LISTED = [fixtures.aListedUpstream('u-1')];
const { isPredictive } = core.loadControl;

suite('the feature enables it for every service', () => {
  const enabled = fixtures.aFleet(LISTED, { features: new Set(['pressure']) });
  assert.ok(isPredictive(enabled, 'models'));
  assert.ok(isPredictive(enabled, 'other'));
  const other = fixtures.aFleet(LISTED, { features: new Set(['another']) });
  assert.not.ok(isPredictive(other, 'models'));
});

suite('a reported slowdown enables it for the service of its upstream', () => {
  const answer = (slowdown?: number) => ({
    type: 'fleet.upstream-responded' as const,
    upstream: 'u-1',
    requestId: undefined,
    selfReport: fixtures.signals(slowdown === undefined ? {} : { slowdown }),
  });
  const silent = fixtures.decided(fixtures.aFleet(LISTED), answer());
  assert.not.ok(isPredictive(silent, 'models'));
  const reported = fixtures.decided(silent, answer(1));
  assert.ok(isPredictive(reported, 'models'));
  assert.not.ok(isPredictive(reported, 'other'));
});

suite.run();
