/** The task that owns the callers' sockets. */
import * as core from '@medlarweir/core';

import * as connections from './connections.js';
import * as requests from './requests.js';
import type * as server from './server.js';

type Message =
  | core.messages.CallersMessage
  | { type: 'http.arrived'; requestId: string; read: server.Arrival['read'] }
  | { type: 'http.flow'; requestId: string; flow: 'open' | 'paused' }
  | { type: 'http.closed'; requestId: string };

type Phase = 'serving' | 'leaving' | 'closed';
type State = {
  phase: Phase;
  configuration: core.configuration.Configuration | undefined;
  /** Ids of requests that have arrived and are not answered whole. Updated in place. */
  open: Set<string>;
};

type Refusal = Extract<core.messages.CallerResponse, { type: 'response.refused' }>;
type Command =
  | { kind: 'listen' }
  | { kind: 'begin'; accepted: requests.Accepted }
  | { kind: 'refuse'; refusal: Refusal }
  | { kind: 'write'; answer: core.messages.CallerResponse }
  | { kind: 'bind'; begun: core.messages.ExchangeBegun }
  | { kind: 'flow'; requestId: string; flow: 'open' | 'paused' }
  | { kind: 'cancel'; requestId: string }
  | { kind: 'limit-bodies'; maxBodyBytes: number }
  | { kind: 'wait-for-balancer' }
  | { kind: 'close' }
  | { kind: 'left' }
  | { kind: 'note-listening'; address: string };
type Step = core.kernel.Step<State, Command>;

export const definition: core.kernel.TaskDefinition<State, Message, Command> = {
  name: 'callers',
  create: (surroundings) => {
    const sockets = connections.create({
      onArrived: (requestId, read) =>
        surroundings.self.send({ type: 'http.arrived', requestId, read }),
      onFlow: (requestId, flow) => surroundings.self.send({ type: 'http.flow', requestId, flow }),
      onClosed: (requestId) => surroundings.self.send({ type: 'http.closed', requestId }),
      onListening: (address) => surroundings.self.send({ type: 'callers.listening', address }),
      onAllClosed: () => surroundings.self.send({ type: 'callers.closed' }),
    });
    return {
      initial: { phase: 'serving', configuration: undefined, open: new Set() },
      decide,
      perform: (command) => perform(surroundings, sockets, command),
      dump: ({ phase, open }) => ({ phase, openRequests: open.size }),
    };
  },
};

function decide(state: State, message: Message): Step {
  switch (message.type) {
    case 'task.start':
      return { state, commands: [{ kind: 'listen' }] };
    case 'configuration.adopted': {
      const { configuration } = message;
      const { maxBodyBytes } = configuration.limits;
      return {
        state: { ...state, configuration },
        commands: [{ kind: 'limit-bodies', maxBodyBytes }],
      };
    }
    case 'callers.listening':
      return { state, commands: [{ kind: 'note-listening', address: message.address }] };
    case 'http.arrived':
      return onArrived(state, message.requestId, message.read);
    case 'exchange.begun':
      return { state, commands: [{ kind: 'bind', begun: message }] };
    case 'http.flow':
      return {
        state,
        commands: [{ kind: 'flow', requestId: message.requestId, flow: message.flow }],
      };
    case 'http.closed':
      return onClosed(state, message.requestId);
    case 'response.started':
    case 'response.token':
      return { state, commands: [{ kind: 'write', answer: message }] };
    case 'response.ended':
    case 'response.complete':
    case 'response.refused':
      return onLastAnswer(state, message);
    case 'task.drain':
      return { state: { ...state, phase: 'leaving' }, commands: [{ kind: 'wait-for-balancer' }] };
    case 'callers.balancer-lag-elapsed':
      return finishLeaving({ ...state, phase: 'closed' }, [{ kind: 'close' }]);
    case 'callers.closed':
      return { state, commands: [] };
    case 'task.stop':
      return { state: { ...state, phase: 'closed' }, commands: [{ kind: 'close' }] };
    default:
      return core.results.assertNever(message);
  }
}

function onArrived(state: State, requestId: string, read: server.Arrival['read']): Step {
  if (!state.configuration) {
    return refuse(state, requestId, core.results.failure('notConfigured', 'try again soon'));
  }
  if (read.kind === 'too-large') {
    const detail = `expected at most ${read.limitBytes} bytes`;
    return refuse(state, requestId, core.results.failure('bodyTooLarge', detail));
  }
  const accepted = requests.accept(state.configuration, read.received, requestId);
  if (accepted.isErr()) return refuse(state, requestId, accepted.error);
  state.open.add(requestId);
  return { state, commands: [{ kind: 'begin', accepted: accepted.value }] };
}

function refuse(state: State, requestId: string, failure: core.results.Failure): Step {
  const refusal: Refusal = {
    type: 'response.refused',
    requestId,
    failure,
    truth: 'not-run',
    retryAfterMs: failure.code === 'notConfigured' ? NOT_CONFIGURED_RETRY_MS : undefined,
  };
  return { state, commands: [{ kind: 'refuse', refusal }] };
}

const NOT_CONFIGURED_RETRY_MS = 1_000;

function onLastAnswer(state: State, answer: core.messages.CallerResponse): Step {
  state.open.delete(answer.requestId);
  return finishLeaving(state, [{ kind: 'write', answer }]);
}

function onClosed(state: State, requestId: string): Step {
  if (!state.open.delete(requestId)) return { state, commands: [] };
  return finishLeaving(state, [{ kind: 'cancel', requestId }]);
}

/** A leaving instance has left once nothing new can arrive and nothing is open. */
function finishLeaving(state: State, commands: readonly Command[]): Step {
  const hasLeft = state.phase === 'closed' && state.open.size === 0;
  return { state, commands: hasLeft ? [...commands, { kind: 'left' }] : commands };
}

function perform(
  surroundings: core.kernel.TaskContext<Message>,
  sockets: connections.Connections,
  command: Command,
): void {
  switch (command.kind) {
    case 'listen':
      sockets.listen(surroundings.settings.callers);
      return;
    case 'begin':
      sockets.expect(command.accepted);
      surroundings.send('exchange', {
        type: 'exchange.begin',
        request: command.accepted.request,
        caller: surroundings.self,
        onBegun: surroundings.self,
      });
      return;
    case 'refuse':
      sockets.write(command.refusal);
      return;
    case 'write':
      sockets.write(command.answer);
      return;
    case 'bind':
      sockets.bind(command.begun);
      return;
    case 'flow':
      sockets.tell(command.requestId, { type: 'exchange.flow-control', flow: command.flow });
      return;
    case 'cancel':
      sockets.tell(command.requestId, { type: 'exchange.caller-disconnected' });
      return;
    case 'limit-bodies':
      sockets.limitBodies(command.maxBodyBytes);
      return;
    case 'wait-for-balancer':
      sockets.announceLeave();
      surroundings.schedule('balancer-lag', surroundings.settings.balancerLagMs, {
        type: 'callers.balancer-lag-elapsed',
      });
      return;
    case 'close':
      sockets.close();
      return;
    case 'left':
      surroundings.send('claims', { type: 'claims.callers-finished' });
      surroundings.drained();
      return;
    case 'note-listening':
      surroundings.record({ name: 'instanceListening', details: { callers: command.address } });
      return;
    default:
      core.results.assertNever(command);
  }
}
