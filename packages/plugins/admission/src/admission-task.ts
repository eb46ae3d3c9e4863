/** The task that owns the places and queues of this instance. */
import * as core from '@medlarweir/core';

type Message = core.messages.AdmissionMessage;
type State = core.admission.State;
type Command = core.admission.Command;

export const definition: core.kernel.TaskDefinition<State, Message, Command> = {
  name: 'admission',
  create: () => ({
    initial: core.admission.initial(),
    decide: core.admission.decide,
    perform: (command) => command.replyTo.send(command.message),
    dump: ({ granted }) => ({ granted: granted.size }),
  }),
};
