/**
 * Guards against a run that is sent after its send deadline, for example by a process that was
 * paused.
 */
import * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

import * as upstreamsTask from '../src/upstreams-task.js';

const suite = uvu.suite('upstreams: a run with a send deadline');

/** The behaviour of the upstreams task, in a context that does nothing. */
function aTask() {
  return upstreamsTask.definition.create({
    self: fixtures.aMailbox(),
    settings: fixtures.aSettings(),
    incarnation: 'incarnation-1',
    send: () => undefined,
    spawn: () => fixtures.aMailbox<never>(),
    record: () => undefined,
    schedule: () => undefined,
    unschedule: () => undefined,
    drained: () => undefined,
    fail: () => undefined,
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

suite('at the deadline it is not sent and fails as not connected', () => {
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

suite('before the deadline it is sent', () => {
  const task = aTask();
  const mailbox = fixtures.aMailbox<core.messages.RunReport>();
  const { commands } = task.decide(task.initial, aRun(100, mailbox), fixtures.anInstant(99));
  assert.equal(
    commands.map(({ kind }) => kind),
    ['work'],
  );
});

suite.run();
