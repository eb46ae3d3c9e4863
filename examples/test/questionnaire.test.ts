/**
 * Guards against `medlarctl` commands that write without confirmation, show secrets, or fail with the
 * wrong exit code.
 */
import * as fixtures from '@medlarweir/core/fixtures';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

import * as operators from './fixtures/operator.js';

const suite = uvu.suite('medlarctl as a separate process');

const ANSWERS = fixtures.aCompletedQuestionnaire({
  clientAccounts: [
    { name: 'gamma', credential: 'credential-of-gamma-for-tests' },
    { name: 'delta' },
  ],
});

async function withOperator(act: (operator: operators.Operator) => Promise<void>): Promise<void> {
  const operator = await operators.anOperator();
  try {
    await act(operator);
  } finally {
    await operator.end();
  }
}

suite(
  'without a terminal and --yes the command shows the difference, declines and writes nothing',
  () =>
    withOperator(async (operator) => {
      const file = await operator.writeJsonFile('answers.json', ANSWERS);
      const { code, stdout, stderr } = await operator.run(['questionnaire', '--answers', file]);
      assert.is(code, 1);
      assert.is(stdout, '');
      assert.match(stderr, '+ upstreams engine-9');
      assert.match(stderr, '6141 declined: there is no terminal to ask at; nothing was changed');
      assert.is(operator.platform.countCalls().writes, 0);
    }),
);

suite('--yes applies the answers and shows a generated credential only once', () =>
  withOperator(async (operator) => {
    const file = await operator.writeJsonFile('answers.json', ANSWERS);
    const first = await operator.run(['questionnaire', '--answers', file, '--yes']);
    assert.is(first.code, 0);
    assert.match(first.stdout, 'generation 1 is accepted');
    assert.match(first.stdout, /delta {2}[0-9a-f]{64}/);
    assert.not.match(`${first.stdout}${first.stderr}`, 'credential-of-gamma-for-tests');
    const again = await operator.run(['questionnaire', '--answers', file, '--yes']);
    assert.match(again.stderr, 'nothing changes');
    assert.not.match(again.stdout, /[0-9a-f]{64}/);
  }),
);

suite('an invalid answer in a file is named with the expected format and the value found', () =>
  withOperator(async (operator) => {
    const file = await operator.writeJsonFile('answers.json', { ...ANSWERS, region: 'Region 1' });
    const { code, stderr } = await operator.run(['questionnaire', '--answers', file, '--yes']);
    assert.is(code, 1);
    assert.match(stderr, 'region: expected lower-case letters, digits, -; found "Region 1"');
    assert.is(operator.platform.countCalls().writes, 0);
  }),
);

suite('get hides secrets, and the output of get --with-secrets can be applied unchanged', () =>
  withOperator(async (operator) => {
    const file = await operator.writeJsonFile('configuration.json', fixtures.aConfiguration());
    assert.is((await operator.run(['apply', file])).code, 1);
    assert.is((await operator.run(['apply', file, '--yes'])).code, 0);
    const [account] = fixtures.aConfiguration().clientAccounts;
    const { contextSecret = '', credentialDigest = '' } = account ?? {};
    const tables = await operator.run(['get']);
    const json = await operator.run(['get', '--json']);
    [tables, json].forEach(({ stdout }) => {
      assert.match(stdout, 'alpha');
      assert.not.match(stdout, contextSecret);
      assert.not.match(stdout, credentialDigest);
    });
    const whole = await operator.run(['get', '--json', '--with-secrets']);
    const copy = await operator.writeJsonFile('copy.json', JSON.parse(whole.stdout));
    const applied = await operator.run(['apply', copy, '--yes']);
    assert.match(applied.stderr, 'nothing changes');
    assert.is(applied.code, 0);
  }),
);

const INVALID_ARGUMENTS: readonly { words: readonly string[]; said: string }[] = [
  { words: ['apply'], said: '6142 wrong use: apply: expected FILE' },
  { words: ['dump'], said: '6142 wrong use: dump: expected INSTANCE' },
  { words: ['dump', 'instance-1'], said: 'MEDLARWEIR_DEPLOYMENT_KEY' },
  { words: ['data-centre', 'sideways', 'dc-1'], said: '6142 wrong use: data-centre' },
  { words: ['juggle'], said: '6003 unknown command: juggle' },
  { words: ['get', '--loud'], said: '6142 wrong use' },
];

suite('invalid arguments fail with exit code 2 and an error that names the problem', () =>
  withOperator(async (operator) => {
    for (const { words, said } of INVALID_ARGUMENTS) {
      const { code, stderr } = await operator.run(words);
      assert.is(code, 2, words.join(' '));
      assert.match(stderr, said);
    }
  }),
);

suite('--help and --version exit without a call to the platform', () =>
  withOperator(async (operator) => {
    const help = await operator.run(['--help']);
    assert.is(help.code, 0);
    assert.match(help.stdout, 'questionnaire');
    const version = await operator.run(['--version']);
    assert.match(version.stdout, /^\d+\.\d+\.\d+\n$/);
  }),
);

suite.run();
