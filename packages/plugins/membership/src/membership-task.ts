/** Task that owns the membership state of the other instances. */
import * as core from '@medlarweir/core';

type Message = core.messages.MembershipMessage;
type State = core.membership.State;
type Command = core.membership.Command;

/** Tasks that divide work among instances and receive each membership change. */
const SUBSCRIBERS = ['claims', 'coldStarts', 'orders', 'peers', 'routing'] as const;

export const definition: core.kernel.TaskDefinition<State, Message, Command> = {
  name: 'membership',
  create: (context) => {
    const { settings, incarnation } = context;
    return {
      initial: core.membership.initial(settings.name, settings.dataCentre, incarnation),
      decide: core.membership.decide,
      perform: (command) => perform(context, command),
      dump: ({ members, isRelay, incarnation: own }) => ({ incarnation: own, isRelay, members }),
    };
  },
};

function perform(context: core.kernel.TaskContext<Message>, command: Command): void {
  const { send, self } = context;
  switch (command.kind) {
    case 'watch-instances':
      send('platform', {
        type: 'platform.watch-instances',
        intervalMs: command.pauseMs,
        replyTo: self,
      });
      return;
    case 'publish':
      publish(context, command.members);
      return;
    case 'heartbeat':
      send('peers', { type: 'peers.send', to: command.to, message: command.heartbeat });
      return;
    case 'report-peer-confirmation': {
      const { from, generation, ageMs } = command;
      send('configuration', { type: 'configuration.peer-confirmed', from, generation, ageMs });
      return;
    }
    case 'schedule-tick':
      context.schedule('tick', core.membership.TICK_MS, { type: 'membership.tick' });
      return;
    default:
      core.results.assertNever(command);
  }
}

function publish(
  { send, record }: core.kernel.TaskContext<Message>,
  members: readonly core.messages.Member[],
): void {
  SUBSCRIBERS.forEach((name) => send(name, { type: 'membership.changed', members }));
  send('configuration', { type: 'configuration.peers-changed', members });
  const silent = members.filter(({ evidence }) => evidence === 'silent');
  record({
    name: 'membershipChanged',
    details: { members: members.length, silent: silent.map(({ name }) => name) },
  });
}
