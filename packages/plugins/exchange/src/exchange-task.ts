/** The task that starts one short-lived task for each request. */
import * as core from '@medlarweir/core';

import * as requestTask from './request-task.js';

type Message = core.messages.ExchangesMessage;
type State = { begun: number };
type Command = { kind: 'spawn'; begin: core.messages.ExchangeBegin };

export const definition: core.kernel.TaskDefinition<State, Message, Command> = {
  name: 'exchange',
  create: (surroundings) => ({
    initial: { begun: 0 },
    decide,
    perform: ({ begin }) => {
      const exchange = surroundings.spawn(requestTask.definition(begin.request, begin.caller));
      begin.onBegun.send({
        type: 'exchange.begun',
        requestId: begin.request.requestId,
        exchange,
      });
    },
    dump: (state) => state,
  }),
};

function decide(state: State, message: Message): core.kernel.Step<State, Command> {
  switch (message.type) {
    case 'exchange.begin':
      return { state: { begun: state.begun + 1 }, commands: [{ kind: 'spawn', begin: message }] };
    case 'configuration.adopted':
    case 'task.start':
    case 'task.leave':
    case 'task.stop':
      return { state, commands: [] };
    default:
      return core.results.never(message);
  }
}
