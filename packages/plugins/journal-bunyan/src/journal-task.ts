/** Task that owns the log stream. */
import * as core from '@medlarweir/core';
import * as bunyan from 'bunyan';

import * as boundedOutput from './bounded-output.js';

type Message = core.messages.JournalMessage;
type State = { recorded: number };
type Command = { kind: 'write'; event: core.events.Event };
type Settings = { name: string; dataCentre: string; logLevel: core.events.Level };

export const definition: core.kernel.TaskDefinition<State, Message, Command, Settings> = {
  name: 'journal',
  create: ({ settings }) => {
    const fields = { instance: settings.name, dataCentre: settings.dataCentre };
    const output = boundedOutput.create(process.stdout, (lines) => {
      const { number, text } = core.events.catalogue.linesDropped;
      const time = new Date().toISOString();
      return `${JSON.stringify({ ...fields, event: number, lines, msg: text, time })}\n`;
    });
    const log = bunyan.createLogger({
      name: 'medlarweir',
      ...fields,
      streams: [{ level: settings.logLevel, stream: output as unknown as NodeJS.WritableStream }],
    });
    // An error on the log stream, such as a closed reader, must not stop the instance.
    process.stdout.on('error', () => undefined);
    return {
      initial: { recorded: 0 },
      decide,
      perform: ({ event }) => write(log, event),
      dump: (state) => state,
    };
  },
};

function decide(state: State, message: Message): core.kernel.Step<State, Command> {
  switch (message.type) {
    case 'journal.record':
      return {
        state: { recorded: state.recorded + 1 },
        commands: [{ kind: 'write', event: message.event }],
      };
    case 'task.start':
    case 'task.drain':
    case 'task.stop':
      return { state, commands: [] };
    default:
      return core.results.assertNever(message);
  }
}

function write(log: bunyan, event: core.events.Event): void {
  const entry = core.events.catalogue[event.name];
  const fields = { event: entry.number, requestId: event.requestId, ...event.details };
  log[entry.level](fields, entry.text);
}
