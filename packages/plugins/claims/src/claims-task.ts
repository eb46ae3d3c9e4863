/** The task that owns the pages of claims as this instance knows them. */
import * as core from '@medlarweir/core';

type Message = core.messages.ClaimsMessage;
type State = core.claims.State;
type Command = core.claims.Command;

export const definition: core.kernel.TaskDefinition<State, Message, Command> = {
  name: 'claims',
  create: (surroundings) => ({
    initial: core.claims.initial(surroundings.incarnation),
    decide: core.claims.decide,
    perform: (command) => perform(surroundings, command),
    dump: ({ pages }) =>
      Object.fromEntries(
        Object.entries(pages).map(([key, { version, queue, batch }]) => [
          key,
          { version, queued: queue.length, underWay: batch?.waiting.length ?? 0 },
        ]),
      ),
  }),
};

function perform(surroundings: core.kernel.Surroundings<Message>, command: Command): void {
  switch (command.kind) {
    case 'read':
      surroundings.send('platform', {
        type: 'platform.read',
        ticket: command.key,
        key: command.key,
        replyTo: surroundings.self,
      });
      return;
    case 'write':
      surroundings.send('metrics', { type: 'metrics.count', name: 'claims.writes', by: 1 });
      surroundings.send('platform', {
        type: 'platform.write',
        ticket: command.key,
        key: command.key,
        expectedVersion: command.expectedVersion,
        value: command.value,
        writeId: command.writeId,
        replyTo: surroundings.self,
      });
      return;
    case 'answer':
      command.replyTo.send(command.message);
      return;
    case 'confirm':
      command.replyTo.send(command.message);
      return;
    case 'left':
      surroundings.left();
      return;
    default:
      core.results.never(command);
  }
}
