/** Task that holds the leases that allow this instance to send to cold upstreams. */
import * as core from '@medlarweir/core';

type Message = core.messages.ColdStartsMessage;
type State = core.coldStarts.State;
type Command = core.coldStarts.Command;

export const definition: core.kernel.TaskDefinition<State, Message, Command> = {
  name: 'coldStarts',
  create: (context) => {
    const { name, dataCentre } = context.settings;
    return {
      initial: core.coldStarts.initial({ name, dataCentre }, context.incarnation),
      decide: core.coldStarts.decide,
      perform: (command) => perform(context, command),
      dump: ({ entries }) => entries,
    };
  },
};

function perform(context: core.kernel.TaskContext<Message>, command: Command): void {
  switch (command.kind) {
    case 'read':
      context.send('platform', {
        type: 'platform.read',
        correlationId: command.ticket,
        key: command.key,
        replyTo: context.self,
      });
      return;
    case 'write':
      context.send('platform', {
        type: 'platform.write',
        correlationId: command.ticket,
        key: command.key,
        expectedVersion: command.expectedVersion,
        value: command.value,
        writeId: command.writeId,
        replyTo: context.self,
      });
      return;
    case 'notify-routing':
      context.send('routing', {
        type: 'cold-starts.right-changed',
        upstream: command.upstream,
        right: command.right,
      });
      return;
    case 'record-right-gained':
      context.record({ name: 'coldRightGained', details: { upstream: command.upstream } });
      return;
    case 'schedule-tick':
      context.schedule('tick', core.coldStarts.TICK_MS, { type: 'cold-starts.tick' });
      return;
    default:
      core.results.assertNever(command);
  }
}
