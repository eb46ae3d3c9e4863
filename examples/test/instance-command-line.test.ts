/** Guards against invalid settings that the instance accepts, or rejects without naming the flag. */
import * as examples from '@medlarweir/examples';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('command line of a medlarweir process');

const VALID: Readonly<Record<string, string>> = {
  name: 'instance-1',
  'data-centre': 'dc-1',
  platform: '127.0.0.1:7000',
  'deployment-key': 'a-key-of-sixteen-or-more',
};

function run(flags: Readonly<Record<string, string>>, words: readonly string[] = ['--check']) {
  const args = Object.entries(flags).flatMap(([flag, value]) => [`--${flag}`, value]);
  return examples.processes.run(examples.processes.BINARIES.medlarweir, [...args, ...words]);
}

suite('--check accepts valid settings and exits with 0', async () => {
  const { code, stdout } = await run(VALID);
  assert.equal({ code, stdout }, { code: 0, stdout: 'settings are valid\n' });
});

suite('--help lists the settings and exit codes, and --version prints the version', async () => {
  const help = await run({}, ['--help']);
  assert.is(help.code, 0);
  ['--balancer-lag-ms', 'default 1000', 'must be given', 'Exit codes'].forEach((text) =>
    assert.match(help.stdout, text),
  );
  const version = await run({}, ['--version']);
  assert.match(version.stdout, /^\d+\.\d+\.\d+\n$/);
});

const INVALID: readonly { flags: Record<string, string>; said: readonly string[] }[] = [
  { flags: { platform: 'nowhere' }, said: ['--platform', 'expected HOST:PORT', 'found "nowhere"'] },
  { flags: { name: 'Instance 1' }, said: ['--name', 'lower-case letters', 'found "Instance 1"'] },
  { flags: { 'balancer-lag-ms': 'long' }, said: ['--balancer-lag-ms', 'found "long"'] },
  { flags: { 'log-level': 'loud' }, said: ['--log-level', 'found "loud"'] },
  { flags: { 'deployment-key': 'short' }, said: ['--deployment-key', 'found a secret'] },
  { flags: { colour: 'red' }, said: ['--colour'] },
];

INVALID.forEach(({ flags, said }) => {
  const [[flag] = ['']] = Object.entries(flags);
  suite(`an invalid --${flag} fails with exit code 2 and is named on stderr`, async () => {
    const { code, stdout, stderr } = await run({ ...VALID, ...flags });
    assert.equal({ code, stdout }, { code: 2, stdout: '' });
    said.forEach((text) => assert.match(stderr, text));
  });
});

suite('a missing setting fails with exit code 2 and is named on stderr', async () => {
  const { code, stderr } = await run({ name: 'instance-1' });
  assert.is(code, 2);
  assert.match(stderr, '--data-centre (MEDLARWEIR_DATA_CENTRE)');
});

suite.run();
