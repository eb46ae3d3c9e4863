/** The task that holds the configuration in force. */
import * as core from '@medlarweir/core';

type Message = core.messages.ConfigurationMessage;
type State = core.configuration.State;
type Command = core.configuration.Command;

/** Tasks that work by the configuration. */
const READERS = [
  'admission',
  'callers',
  'claims',
  'coldStarts',
  'orders',
  'routing',
  'stores',
  'upstreams',
] as const;

export const definition: core.kernel.TaskDefinition<State, Message, Command> = {
  name: 'configuration',
  create: (surroundings) => ({
    initial: core.configuration.initial,
    decide: core.configuration.decide,
    perform: (command) => perform(surroundings, command),
    dump: ({ current, confirmedAtMs }) => ({
      generation: current?.generation ?? null,
      confirmedAtMs: confirmedAtMs ?? null,
    }),
  }),
};

function perform(surroundings: core.kernel.Surroundings<Message>, command: Command): void {
  switch (command.kind) {
    case 'watch':
      surroundings.send('platform', {
        type: 'platform.watch',
        prefix: core.configuration.CONFIGURATION_KEY,
        replyTo: surroundings.self,
      });
      return;
    case 'publish':
      READERS.forEach((name) =>
        surroundings.send(name, {
          type: 'configuration.adopted',
          configuration: command.configuration,
        }),
      );
      return;
    case 'relay':
      surroundings.send('peers', {
        type: 'peers.notify',
        to: 'all',
        note: core.configuration.relayNote(command.configuration),
      });
      return;
    case 'note-adopted':
      surroundings.record({
        name: 'configurationAdopted',
        details: { generation: command.generation, source: command.source },
      });
      return;
    case 'note-refused':
      surroundings.record({
        name: 'configurationRefused',
        details: { failure: core.results.describe(command.failure) },
      });
      return;
    default:
      core.results.never(command);
  }
}
