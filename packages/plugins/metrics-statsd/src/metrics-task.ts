/** The task that owns the UDP socket to the StatsD server. */
import * as core from '@medlarweir/core';
import * as hotShots from 'hot-shots';

type Message = core.messages.MetricsMessage;
type State = { sent: number };
type Command = Exclude<Message, core.messages.TaskMessage> | { type: 'metrics.close' };

export function definition(server: string): core.kernel.TaskDefinition<State, Message, Command> {
  const [host = '', port = ''] = server.split(':');
  return {
    name: 'metrics',
    create: ({ settings }) => {
      const client = new hotShots.StatsD({
        host,
        port: Number(port),
        prefix: 'medlarweir.',
        globalTags: { instance: settings.name, data_centre: settings.dataCentre },
        errorHandler: () => undefined,
      });
      return {
        initial: { sent: 0 },
        decide,
        perform: (command) => perform(client, command),
        dump: (state) => state,
      };
    },
  };
}

function decide(state: State, message: Message): core.kernel.Step<State, Command> {
  switch (message.type) {
    case 'task.start':
    case 'task.leave':
      return { state, commands: [] };
    case 'task.stop':
      return { state, commands: [{ type: 'metrics.close' }] };
    case 'metrics.count':
    case 'metrics.timing':
    case 'metrics.gauge':
      return { state: { sent: state.sent + 1 }, commands: [message] };
    default:
      return core.results.never(message);
  }
}

function perform(client: hotShots.StatsD, command: Command): void {
  switch (command.type) {
    case 'metrics.count':
      client.increment(command.name, command.by);
      return;
    case 'metrics.timing':
      client.timing(command.name, command.ms);
      return;
    case 'metrics.gauge':
      client.gauge(command.name, command.value);
      return;
    case 'metrics.close':
      client.close();
      return;
    default:
      core.results.never(command);
  }
}
