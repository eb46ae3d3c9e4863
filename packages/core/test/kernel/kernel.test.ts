/**
 * Guards against messages that reach the wrong task or fail without a recipient, and against a drain
 * that waits although no task holds work.
 */
import * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('kernel');

const SETTINGS = fixtures.aSettings();

type Message = core.messages.JournalMessage;
type Definition = core.kernel.TaskDefinition<number, Message, 'noted'>;

/** A journal task that counts the events it receives. */
function aJournal(name = 'journal'): Definition {
  return {
    name,
    create: () => ({
      initial: 0,
      decide: (count, message) => ({
        state: message.type === 'journal.record' ? count + 1 : count,
        commands: [],
      }),
      perform: () => undefined,
      dump: (count) => ({ count }),
    }),
  };
}

function aPlugin(definition: Definition): core.kernel.Plugin {
  return { name: 'test', hooks: { 'instance:setup': ({ addTask }) => addTask(definition) } };
}

suite('a message sent by task name reaches the task, and the dump shows its state', () => {
  const kernel = core.kernel.start(SETTINGS, [aPlugin(aJournal())]);
  kernel.send('journal', {
    type: 'journal.record',
    event: { name: 'instanceStarted', details: {} },
  });
  assert.equal(kernel.dump(), { journal: { count: 1 } });
  kernel.stop();
});

suite('a message to a task that does not exist is dropped', () => {
  const kernel = core.kernel.start(SETTINGS, []);
  kernel.send('journal', {
    type: 'journal.record',
    event: { name: 'instanceStarted', details: {} },
  });
  assert.equal(kernel.dump(), {});
  kernel.stop();
});

suite('a drain stops the instance at once when no task holds work', async () => {
  const kernel = core.kernel.start(SETTINGS, [aPlugin(aJournal())]);
  kernel.drain();
  await kernel.stopped;
});

suite.run();
