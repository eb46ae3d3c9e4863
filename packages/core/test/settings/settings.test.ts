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

suite('a flag goes before the environment', () => {
  const environment = { MEDLARWEIR_NAME: 'from-environment', MEDLARWEIR_LOG_LEVEL: 'warn' };
  const parsed = core.settings.parse(GOOD, environment);
  assert.ok(parsed.isOk());
  if (!parsed.isOk()) return;
  assert.is(parsed.value.name, 'instance-1');
  assert.is(parsed.value.logLevel, 'warn');
});

suite('a bad setting names itself, what was expected and what was found', () => {
  const parsed = core.settings.parse({ ...GOOD, platform: 'nowhere' }, {});
  assert.ok(parsed.isErr());
  if (!parsed.isErr()) return;
  const text = core.results.describe(parsed.error);
  assert.match(text, '--platform');
  assert.match(text, 'MEDLARWEIR_PLATFORM');
  assert.match(text, 'expected HOST:PORT');
  assert.match(text, 'found "nowhere"');
});

suite('a bad secret is not shown', () => {
  const parsed = core.settings.parse({ ...GOOD, 'deployment-key': 'short' }, {});
  assert.ok(parsed.isErr());
  if (!parsed.isErr()) return;
  assert.not.match(core.results.describe(parsed.error), 'short;');
  assert.not.match(core.results.describe(parsed.error), '"short"');
});

suite.run();
