/** The task that owns the log stream. */
import * as core from '@medlarweir/core';
import * as bunyan from 'bunyan';

type Message = core.messages.JournalMessage;
type State = { recorded: number };
type Command = { kind: 'write'; event: core.events.Event };

export const definition: core.kernel.TaskDefinition<State, Message, Command> = {
  name: 'journal',
  create: ({ settings }) => {
    const log = bunyan.createLogger({
      name: 'medlarweir',
      level: settings.logLevel,
      instance: settings.name,
      dataCentre: settings.dataCentre,
    });
    // A log that nobody reads any more must not end the instance.
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
    case 'task.leave':
    case 'task.stop':
      return { state, commands: [] };
    default:
      return core.results.never(message);
  }
}

function write(log: bunyan, event: core.events.Event): void {
  const entry = core.events.catalogue[event.name];
  const fields = { event: entry.number, requestId: event.requestId, ...event.details };
  log[entry.level](fields, entry.text);
}
