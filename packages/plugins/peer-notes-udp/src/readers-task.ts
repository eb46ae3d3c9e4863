/** Task that decides which instance reads the platform and the context stores for this one. */
import * as core from '@medlarweir/core';

type Message = core.messages.ReadersMessage;
type State = core.readers.State;
type Command = core.readers.Command;
type Settings = core.settings.gateway.GatewaySettings;
type TaskContext = core.kernel.TaskContext<Message, Settings>;

export const definition: core.kernel.TaskDefinition<State, Message, Command, Settings> = {
  name: 'readers',
  create: (context) => {
    const { settings, incarnation } = context;
    const { name, adoptionMs } = settings;
    return {
      initial: core.readers.initial({ name, incarnation, adoptionMs }, core.kernel.readClock()),
      decide: core.readers.decide,
      perform: (command) => perform(context, command),
      dump: ({ source, groups, followers }) => ({
        source,
        groups,
        followers: [...followers.keys()],
      }),
    };
  },
};

function perform(context: TaskContext, command: Command): void {
  const { send, record } = context;
  switch (command.kind) {
    case 'send':
      send('peerNotes', { type: 'peer-updates.send', update: command.update, to: command.to });
      return;
    case 'set-source': {
      const { isRelayed, sharing, reader } = command;
      send('platform', { type: 'platform.set-relayed', isRelayed });
      send('contextStores', { type: 'context-stores.role-changed', isReader: !isRelayed, sharing });
      send('fleet', { type: 'fleet.sharing-changed', sharing });
      send('canary', { type: 'canary.sharing-changed', sharing });
      record({ name: 'readerChanged', details: { reader, sharing } });
      return;
    }
    case 'set-audiences':
      send('peerNotes', {
        type: 'peer-updates.audiences-changed',
        audiences: command.audiences,
      });
      return;
    case 'confirm':
      send('platform', { type: 'platform.relayed-positions', positions: command.positions });
      return;
    case 'apply-changes':
      send('platform', { type: 'platform.relayed-changes', changes: command.changes });
      return;
    case 'schedule-tick':
      context.schedule('tick', command.delayMs, { type: 'readers.tick' });
      return;
    default:
      core.results.assertNever(command);
  }
}
