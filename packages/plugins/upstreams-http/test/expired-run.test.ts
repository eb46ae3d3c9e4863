import * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

import * as upstreamsTask from '../src/upstreams-task.js';

const suite = uvu.suite('a run whose right to be sent has lapsed');

/** The behaviour of the task, with nothing around it. */
function aTask() {
  return upstreamsTask.definition.create({
    self: fixtures.aMailbox(),
    settings: {
      name: 'instance-1',
      dataCentre: 'dc-1',
      callers: '127.0.0.1:0',
      peers: '127.0.0.1:0',
      platform: '127.0.0.1:1',
      deploymentKey: 'a-key-of-sixteen-or-more',
      logLevel: 'info',
      balancerLagMs: 0,
    },
    incarnation: 'incarnation-1',
    send: () => undefined,
    spawn: () => fixtures.aMailbox<never>(),
    record: () => undefined,
    schedule: () => undefined,
    unschedule: () => undefined,
    drained: () => undefined,
    dump: () => ({}),
  });
}

function aRun(sendBeforeMs: number, replyTo: core.kernel.Address<core.messages.RunReport>) {
  const order: core.messages.RunOrder = {
    runId: 'run-1',
    upstream: 'engine-1',
    model: 'm',
    adapter: '',
    weightVersion: 'v1',
    prompt: '',
    pieces: [],
    adopted: [],
    maxTokens: 1,
    priority: 'normal',
    offset: 0,
    answered: '',
    sendBeforeMs,
  };
  return { type: 'upstreams.run' as const, order, replyTo };
}

suite('is not sent, and its request hears that nothing reached the upstream', () => {
  const task = aTask();
  const mailbox = fixtures.aMailbox<core.messages.RunReport>();
  const { commands } = task.decide(task.initial, aRun(100, mailbox), fixtures.anInstant(100));
  assert.equal(
    commands.map(({ kind }) => kind),
    ['refuse-expired-run'],
  );
  commands.forEach((command) => task.perform(command));
  const [found] = mailbox.received;
  assert.equal(found?.type === 'run.failed' && found.progress, { kind: 'not-connected' });
});

suite('is sent before that', () => {
  const task = aTask();
  const mailbox = fixtures.aMailbox<core.messages.RunReport>();
  const { commands } = task.decide(task.initial, aRun(100, mailbox), fixtures.anInstant(99));
  assert.equal(
    commands.map(({ kind }) => kind),
    ['work'],
  );
});

suite.run();
