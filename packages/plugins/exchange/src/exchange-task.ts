/**
 * The task that spawns one short-lived task per request and owns the retry budget of the instance.
 */
import * as core from '@medlarweir/core';

import * as requestTask from './request-task.js';

type Message = core.messages.ExchangeSupervisorMessage;
type State = { begun: number; budget: core.exchange.retryBudget.Budget };
type Command =
  | { kind: 'spawn'; begin: core.messages.ExchangeBegin }
  | {
      kind: 'answer-retry';
      replyTo: core.kernel.Address<core.messages.ExchangeMessage>;
      answer: core.messages.RetryBudgetAnswer;
    };

const { retryBudget } = core.exchange;

export const definition: core.kernel.TaskDefinition<State, Message, Command> = {
  name: 'exchange',
  create: (context) => ({
    initial: { begun: 0, budget: retryBudget.full },
    decide,
    perform: (command) => perform(context, command),
    dump: (state) => state,
  }),
};

function decide(state: State, message: Message): core.kernel.Step<State, Command> {
  switch (message.type) {
    case 'exchange.begin':
      return {
        state: { begun: state.begun + 1, budget: retryBudget.recordRequest(state.budget) },
        commands: [{ kind: 'spawn', begin: message }],
      };
    case 'exchange.ask-retry-budget': {
      const { budget, answer } = retryBudget.spendRetry(state.budget);
      const { replyTo } = message;
      return { state: { ...state, budget }, commands: [{ kind: 'answer-retry', replyTo, answer }] };
    }
    case 'configuration.adopted':
    case 'task.start':
    case 'task.drain':
    case 'task.stop':
      return { state, commands: [] };
    default:
      return core.results.assertNever(message);
  }
}

function perform(context: core.kernel.TaskContext<Message>, command: Command): void {
  switch (command.kind) {
    case 'spawn': {
      const { request, caller, onBegun } = command.begin;
      const exchange = context.spawn(requestTask.definition(request, caller));
      onBegun.send({ type: 'exchange.begun', requestId: request.requestId, exchange });
      return;
    }
    case 'answer-retry':
      command.replyTo.send({ type: 'retry-budget.answered', answer: command.answer });
      return;
    default:
      core.results.assertNever(command);
  }
}
