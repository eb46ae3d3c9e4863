/** Guards against wrong precedence of settings, and errors that are unclear or reveal a secret. */
import * as core from '@medlarweir/core';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('settings');

const GOOD = {
  name: 'instance-1',
  'data-centre': 'dc-1',
  platform: '127.0.0.1:7000',
  'deployment-key': 'a-key-of-sixteen-or-more',
};

suite('a flag takes precedence over the environment', () => {
  const environment = { MEDLARWEIR_NAME: 'from-environment', MEDLARWEIR_LOG_LEVEL: 'warn' };
  const parsed = core.settings.parse(GOOD, environment);
  assert.ok(parsed.isOk());
  if (!parsed.isOk()) return;
  assert.is(parsed.value.name, 'instance-1');
  assert.is(parsed.value.logLevel, 'warn');
});

/** Guards against a deployment without a bound, whose placeholder is empty, that does not start. */
suite('an empty value counts as not given', () => {
  const environment = { MEDLARWEIR_LOG_LEVEL: 'warn', MEDLARWEIR_METRICS: '' };
  const parsed = core.settings.parse({ ...GOOD, 'log-level': '' }, environment);
  assert.is(parsed.isOk() && parsed.value.logLevel, 'warn');
  const { gatewayFlags } = core.settings.gateway;
  const addresses = { callers: 'h:1', readiness: 'h:2', platform: 'h:3' };
  const flags = { name: 'i', 'data-centre': 'd', ...addresses, 'exposure-share': '' };
  const gateway = gatewayFlags.parse(flags, {});
  assert.ok(gateway.isOk());
  assert.is(gateway.isOk() && gateway.value.exposureShare, undefined);
  const given = gatewayFlags.parse({ ...flags, 'exposure-share': '0.1' }, {});
  assert.is(given.isOk() && given.value.exposureShare, 0.1);
  assert.ok(gatewayFlags.parse({ ...flags, 'exposure-share': '2' }, {}).isErr());
});

suite('an invalid setting’s error names it, what was expected and what was found', () => {
  const parsed = core.settings.parse({ ...GOOD, platform: 'nowhere' }, {});
  assert.ok(parsed.isErr());
  if (!parsed.isErr()) return;
  const text = core.results.describe(parsed.error);
  assert.match(text, '--platform');
  assert.match(text, 'MEDLARWEIR_PLATFORM');
  assert.match(text, 'expected HOST:PORT');
  assert.match(text, 'found "nowhere"');
});

suite('the error of an invalid secret does not show its value', () => {
  const parsed = core.settings.parse({ ...GOOD, 'deployment-key': 'short' }, {});
  assert.ok(parsed.isErr());
  if (!parsed.isErr()) return;
  assert.not.match(core.results.describe(parsed.error), 'short;');
  assert.not.match(core.results.describe(parsed.error), '"short"');
});

const GATEWAY = {
  name: 'instance-1',
  'data-centre': 'dc-1',
  callers: '127.0.0.1:1',
  readiness: '127.0.0.1:2',
  platform: '127.0.0.1:3',
};

function features(given: Readonly<Record<string, string>>, environment = {}): readonly string[] {
  const parsed = core.settings.gateway.gatewayFlags.parse({ ...GATEWAY, ...given }, environment);
  return parsed.isOk() ? parsed.value.features : [core.results.describe(parsed.error)];
}

/** Guards against a start that fails because a placeholder of the run line is empty. */
suite('an empty flag or environment value counts as not given', () => {
  assert.equal(features({ features: '' }), []);
  assert.equal(features({ features: '' }, { MEDLARWEIR_FEATURES: 'pressure' }), ['pressure']);
  assert.equal(features({}, { MEDLARWEIR_FEATURES: '', MEDLARWEIR_COLD_SLACK: '' }), []);
});

suite('features are names separated by commas', () => {
  assert.equal(features({ features: 'pressure, unknown,,' }), ['pressure', 'unknown']);
});

suite.run();
