/** The task that holds the rights to send to cold upstreams. */
import * as core from '@medlarweir/core';

type Message = core.messages.ColdStartsMessage;
type State = core.coldStarts.State;
type Command = core.coldStarts.Command;

export const definition: core.kernel.TaskDefinition<State, Message, Command> = {
  name: 'coldStarts',
  create: (surroundings) => {
    const { name, dataCentre } = surroundings.settings;
    return {
      initial: core.coldStarts.initial({ name, dataCentre }, surroundings.incarnation),
      decide: core.coldStarts.decide,
      perform: (command) => perform(surroundings, command),
      dump: ({ entries }) => entries,
    };
  },
};

function perform(surroundings: core.kernel.TaskContext<Message>, command: Command): void {
  switch (command.kind) {
    case 'read':
      surroundings.send('platform', {
        type: 'platform.read',
        correlationId: command.ticket,
        key: command.key,
        replyTo: surroundings.self,
      });
      return;
    case 'write':
      surroundings.send('platform', {
        type: 'platform.write',
        correlationId: command.ticket,
        key: command.key,
        expectedVersion: command.expectedVersion,
        value: command.value,
        writeId: command.writeId,
        replyTo: surroundings.self,
      });
      return;
    case 'notify-routing':
      surroundings.send('routing', {
        type: 'cold-starts.right-changed',
        upstream: command.upstream,
        right: command.right,
      });
      return;
    case 'record-right-gained':
      surroundings.record({ name: 'coldRightGained', details: { upstream: command.upstream } });
      return;
    case 'schedule-tick':
      surroundings.schedule('tick', core.coldStarts.TICK_MS, { type: 'cold-starts.tick' });
      return;
    default:
      core.results.assertNever(command);
  }
}
