/**
 * Measures the cost of one message between two tasks: the slope of CPU time over the number of
 * messages. At the design size, an instance forwards 2.9 million / 380 tokens per second,
 * and each token is two messages.
 */
import * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';

import * as registry from '../registry.js';
import * as slope from '../slope.js';

type Message = core.messages.JournalMessage;

const SIZES: readonly number[] = [50_000, 100_000, 200_000, 400_000];
const TOKENS_PER_S = 2_900_000 / 380;
const MESSAGES_PER_TOKEN = 2;
const MICROS_PER_S = 1_000_000;

const SETTINGS = fixtures.aSettings();

/** A task that answers each message with one command, as the tasks that forward tokens do. */
const counter: core.kernel.TaskDefinition<number, Message, 'noted'> = {
  name: 'journal',
  create: () => ({
    initial: 0,
    decide: (count) => ({ state: count + 1, commands: ['noted'] }),
    perform: () => undefined,
    dump: (count) => ({ count }),
  }),
};

const PLUGIN: core.kernel.Plugin = {
  name: 'counter',
  hooks: { 'instance:setup': ({ addTask }) => addTask(counter) },
};

/** Measures the CPU time for a number of messages. */
function measure(messages: number): number {
  const kernel = core.kernel.start(SETTINGS, [PLUGIN]);
  const event: core.events.Event = { name: 'instanceStarted', details: {} };
  const before = process.cpuUsage();
  for (let sent = 0; sent < messages; sent += 1) {
    kernel.send('journal', { type: 'journal.record', event });
  }
  const { user, system } = process.cpuUsage(before);
  kernel.stop();
  return user + system;
}

function run(): Promise<registry.Report> {
  measure(SIZES[0] ?? 0);
  const sizes = SIZES.map((messages) => ({ messages, micros: measure(messages) }));
  const microsPerMessage = slope.slopeOf(
    sizes.map(({ messages, micros }) => ({ x: messages, y: micros })),
  );
  const coreShareAtPeak = (TOKENS_PER_S * MESSAGES_PER_TOKEN * microsPerMessage) / MICROS_PER_S;
  const lines = [
    `one message costs ${microsPerMessage.toFixed(2)} µs`,
    `tokens at the peak take ${(coreShareAtPeak * 100).toFixed(1)}% of a core for messages`,
  ];
  return Promise.resolve({ lines, data: { sizes, microsPerMessage, coreShareAtPeak } });
}

registry.register({
  name: 'kernel',
  summary: 'what one message between two tasks costs',
  run,
});
