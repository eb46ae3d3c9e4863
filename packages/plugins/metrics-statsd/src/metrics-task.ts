/** Task that owns the UDP socket to the StatsD server. */
import * as core from '@medlarweir/core';
import * as hotShots from 'hot-shots';

type Message = core.messages.MetricsMessage;
type State = core.metrics.State;
type Command = core.metrics.Command;

export function definition(server: string): core.kernel.TaskDefinition<State, Message, Command> {
  const { host, port } = core.settings.address.split(server);
  return {
    name: 'metrics',
    create: ({ settings }) => {
      const client = new hotShots.StatsD({
        host,
        port,
        prefix: 'medlarweir.',
        globalTags: { instance: settings.name, data_centre: settings.dataCentre },
        errorHandler: () => undefined,
      });
      return {
        initial: core.metrics.initial,
        decide: core.metrics.decide,
        perform: (command) => perform(client, command),
        dump: ({ updates }) => ({ sent: updates }),
      };
    },
  };
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
      core.results.assertNever(command);
  }
}
