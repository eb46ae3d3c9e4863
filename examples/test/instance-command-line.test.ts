import * as examples from '@medlarweir/examples';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('medlarweir’s command line as a process');

const GOOD: Readonly<Record<string, string>> = {
  name: 'instance-1',
  'data-centre': 'dc-1',
  platform: '127.0.0.1:7000',
  'deployment-key': 'a-key-of-sixteen-or-more',
};

function run(flags: Readonly<Record<string, string>>, words: readonly string[] = ['--check']) {
  const args = Object.entries(flags).flatMap(([flag, value]) => [`--${flag}`, value]);
  return examples.processes.run(examples.processes.BINARIES.medlarweir, [...args, ...words]);
}

suite('--check accepts good settings', async () => {
  const { code, stdout } = await run(GOOD);
  assert.equal({ code, stdout }, { code: 0, stdout: 'settings are valid\n' });
});

suite('--help shows each setting and the exit codes, --version the version', async () => {
  const help = await run({}, ['--help']);
  assert.is(help.code, 0);
  ['--balancer-lag-ms', 'default 1000', 'must be given', 'Exit codes'].forEach((text) =>
    assert.match(help.stdout, text),
  );
  const version = await run({}, ['--version']);
  assert.match(version.stdout, /^\d+\.\d+\.\d+\n$/);
});

const BAD: readonly { flags: Record<string, string>; said: readonly string[] }[] = [
  { flags: { platform: 'nowhere' }, said: ['--platform', 'expected HOST:PORT', 'found "nowhere"'] },
  { flags: { name: 'Instance 1' }, said: ['--name', 'lower-case letters', 'found "Instance 1"'] },
  { flags: { 'balancer-lag-ms': 'long' }, said: ['--balancer-lag-ms', 'found "long"'] },
  { flags: { 'log-level': 'loud' }, said: ['--log-level', 'found "loud"'] },
  { flags: { 'deployment-key': 'short' }, said: ['--deployment-key', 'found a secret'] },
  { flags: { colour: 'red' }, said: ['--colour'] },
];

BAD.forEach(({ flags, said }) => {
  const [[flag] = ['']] = Object.entries(flags);
  suite(`a bad --${flag} ends with exit code 2 and is named`, async () => {
    const { code, stdout, stderr } = await run({ ...GOOD, ...flags });
    assert.equal({ code, stdout }, { code: 2, stdout: '' });
    said.forEach((text) => assert.match(stderr, text));
  });
});

suite('a missing setting ends with exit code 2 and is named', async () => {
  const { code, stderr } = await run({ name: 'instance-1' });
  assert.is(code, 2);
  assert.match(stderr, '--data-centre (MEDLARWEIR_DATA_CENTRE)');
});

suite.run();
