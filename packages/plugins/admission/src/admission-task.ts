/** Task that owns the concurrency limits and admission queues of this instance. */
import * as core from '@medlarweir/core';

type Message = core.messages.AdmissionMessage;
type State = core.admission.State;
type Command = core.admission.Command;

export const definition: core.kernel.TaskDefinition<State, Message, Command> = {
  name: 'admission',
  create: (context) => ({
    initial: core.admission.initial(),
    decide: core.admission.decide,
    perform: (command) => perform(context, command),
    dump,
  }),
};

function perform(context: core.kernel.TaskContext<Message>, command: Command): void {
  switch (command.kind) {
    case 'reply':
      command.replyTo.send(command.message);
      return;
    case 'schedule-tick':
      context.schedule('tick', core.admission.TICK_MS, { type: 'admission.tick' });
      return;
    default:
      core.results.assertNever(command);
  }
}

function dump(state: State): unknown {
  return Object.fromEntries(
    [...state.queues].map(([service, { concurrencyLimit, granted, waiting, completionsPerS }]) => [
      service,
      {
        limit: concurrencyLimit,
        granted: granted.size,
        waiting: waiting.length,
        releasesPerS: completionsPerS,
      },
    ]),
  );
}
