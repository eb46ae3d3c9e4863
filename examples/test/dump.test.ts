/** Guards against a state dump, or an answer of the peer port, that shows secrets or prompts. */
import * as examples from '@medlarweir/examples';
import * as undici from 'undici';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

import * as badInput from './fixtures/bad-input.js';
import * as runningInstance from './fixtures/running-instance.js';

const suite = uvu.suite('state dump of a running instance', {} as badInput.Target);

suite.before(async (context) => {
  Object.assign(context, await badInput.aTarget());
});

suite.after((context) => context.end());

suite(
  'a dump taken while a prompt is in flight shows every task and no secret',
  async (context) => {
    const { platform, peers } = context.instance;
    const listed = { name: runningInstance.INSTANCE, dataCentre: 'dc-1', peers };
    await examples.clusters.registerInstance(platform.address, listed);
    const running = badInput.send(context, {
      body: JSON.stringify({ ...badInput.COMPLETION, max_tokens: 100 }),
    });
    const key = ['--deployment-key', runningInstance.DEPLOYMENT_KEY];
    const dump = await operate(context, ['dump', runningInstance.INSTANCE, ...key]);
    assert.is(dump.code, 0, dump.stderr);
    ['callers', 'exchange', 'configuration', 'routing', 'peers'].forEach((task) =>
      assert.match(dump.stdout, task),
    );
    badInput.expectNoSecrets(dump.stdout);
    assert.is((await running).status, 200);
  },
);

const DUMP_FAULTS: readonly { fault: string; words: readonly string[]; said: string }[] = [
  {
    fault: 'an unknown instance',
    words: ['dump', 'nobody', '--deployment-key', runningInstance.DEPLOYMENT_KEY],
    said: '6143 unknown instance',
  },
  {
    fault: 'a wrong deployment key',
    words: ['dump', runningInstance.INSTANCE, '--deployment-key', 'the-key-of-another-deployment'],
    said: '6144 instance does not answer',
  },
];

DUMP_FAULTS.forEach(({ fault, words, said }) => {
  suite(`dump with ${fault} fails with exit code 1`, async (context) => {
    const { code, stdout, stderr } = await operate(context, words);
    assert.is(code, 1);
    assert.is(stdout, '');
    assert.match(stderr, said);
    badInput.expectNoSecrets(stderr);
  });
});

function operate({ instance }: badInput.Target, words: readonly string[]) {
  return examples.processes.run(examples.processes.BINARIES.medlarctl, [
    ...words,
    '--platform',
    instance.platform.address,
  ]);
}

suite(
  'the peer port rejects unauthenticated requests without showing paths or secrets',
  async ({ instance }) => {
    const requests = ['/dump', '/notify', '/nothing'].map((path) =>
      undici.request(`http://${instance.peers}${path}`, { method: 'POST', body: '{"a":' }),
    );
    const replies = await Promise.all(requests);
    const texts = await Promise.all(replies.map(({ body }) => body.text()));
    assert.ok(replies.every(({ statusCode }) => statusCode >= 400));
    texts.forEach((text) => {
      assert.not.match(text, 'node_modules');
      badInput.expectNoSecrets(text);
    });
  },
);

suite.run();
