/** The task that holds what is known of other instances. */
import * as core from '@medlarweir/core';

type Message = core.messages.MembershipMessage;
type State = core.membership.State;
type Command = core.membership.Command;

/** Tasks that divide work among instances. */
const READERS = ['claims', 'coldStarts', 'orders', 'peers', 'routing'] as const;

export const definition: core.kernel.TaskDefinition<State, Message, Command> = {
  name: 'membership',
  create: (surroundings) => ({
    initial: core.membership.initial(surroundings.settings.name),
    decide: core.membership.decide,
    perform: (command) => perform(surroundings, command),
    dump: (state) => ({ listed: state.listed, heardAtMs: state.heardAtMs }),
  }),
};

function perform(surroundings: core.kernel.Surroundings<Message>, command: Command): void {
  switch (command.kind) {
    case 'watch-instances':
      surroundings.send('platform', {
        type: 'platform.watch-instances',
        replyTo: surroundings.self,
      });
      return;
    case 'publish':
      READERS.forEach((name) =>
        surroundings.send(name, { type: 'membership.changed', members: command.members }),
      );
      surroundings.send('configuration', { type: 'configuration.peers-changed' });
      surroundings.record({
        name: 'membershipChanged',
        details: { members: command.members.map(({ name }) => name) },
      });
      return;
    default:
      core.results.never(command);
  }
}
