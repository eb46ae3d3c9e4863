/**
 * The task that owns the callers' sockets, the requests open on them, and the drain of the front
 * end.
 */
import type * as callerConnections from '@medlarweir/caller-connections';
import * as core from '@medlarweir/core';
import * as processMemory from '@medlarweir/process-memory';

import * as connections from './connections.js';
import * as requests from './requests.js';
import type * as server from './server.js';

type Message =
  | core.messages.CallersMessage
  | {
      type: 'http.request-received';
      requestId: string;
      readResult: server.IncomingRequest['readResult'];
    }
  | { type: 'http.flow-control'; requestId: string; flow: 'open' | 'paused' }
  | { type: 'http.caller-disconnected'; requestId: string };

type Phase = 'serving' | 'leaving' | 'closed';
type State = {
  phase: Phase;
  drain: core.drain.Drain;
  configuration: core.configuration.Configuration | undefined;
  /** Ids of accepted requests whose response is not complete. Updated in place. */
  openRequestIds: Set<string>;
};

type Refusal = Extract<core.messages.CallerResponse, { type: 'response.refused' }>;
type Command =
  | { kind: 'listen' }
  | { kind: 'begin'; accepted: requests.Accepted }
  | { kind: 'refuse'; refusal: Refusal }
  | { kind: 'write'; answer: core.messages.CallerResponse }
  | { kind: 'attach-exchange'; begun: core.messages.ExchangeBegun }
  | { kind: 'flow'; requestId: string; flow: 'open' | 'paused' }
  | { kind: 'cancel'; requestId: string }
  | { kind: 'set-max-body-bytes'; maxBodyBytes: number }
  | { kind: 'start-drain' }
  | { kind: 'close' }
  | { kind: 'left' }
  | { kind: 'record-listening'; address: string };
type Step = core.kernel.Step<State, Command>;

export const definition: core.kernel.TaskDefinition<State, Message, Command> = {
  name: 'callers',
  create: (context) => {
    const division = processMemory.division.ofProcess(context.settings.memoryMb);
    const sockets = connections.create({
      onRequest: (requestId, readResult) =>
        context.self.send({ type: 'http.request-received', requestId, readResult }),
      onFlowControl: (requestId, flow) =>
        context.self.send({ type: 'http.flow-control', requestId, flow }),
      onCallerDisconnected: (requestId) =>
        context.self.send({ type: 'http.caller-disconnected', requestId }),
      listen: (server) => core.kernel.listen(server, context.settings.callers, context),
      onListening: (address) => context.self.send({ type: 'callers.listening', address }),
      onConnectionEnded: (details) => context.record({ name: 'connectionRefused', details }),
      onDropped: (dropped) => reportDropped(context, dropped),
      memory: {
        callerBytes: context.settings.callerMemoryMb * BYTES_PER_MB,
        maxConnections: context.settings.maxConnections,
        maxDescriptors: context.settings.maxDescriptors,
        division,
        collector: processMemory.collector.create({
          watermarks: division.watermarks,
          onCollected: (label) =>
            context.send('metrics', {
              type: 'metrics.count',
              name: 'memory.collections',
              by: 1,
              label,
            }),
        }),
      },
      onServerClosed: () => context.self.send({ type: 'callers.closed' }),
    });
    return {
      initial: {
        phase: 'serving',
        drain: core.drain.serving(context.settings),
        configuration: undefined,
        openRequestIds: new Set(),
      },
      decide,
      perform: (command) => perform(context, sockets, command),
      dump: ({ phase, openRequestIds }) => ({ phase, openRequests: openRequestIds.size }),
    };
  },
};

const BYTES_PER_MB = 1_024 * 1_024;

/** One line and two counts for all that were dropped between two checks. */
function reportDropped(
  { record, send }: Pick<core.kernel.TaskContext<Message>, 'record' | 'send'>,
  dropped: callerConnections.Dropped,
): void {
  record({ name: 'connectionsDropped', details: { address: 'callers', ...dropped } });
  (['refused', 'closed'] as const).forEach((label) =>
    send('metrics', { type: 'metrics.count', name: 'callers.dropped', by: dropped[label], label }),
  );
}

function decide(state: State, message: Message, now: core.kernel.Instant): Step {
  switch (message.type) {
    case 'task.start':
      return { state, commands: [{ kind: 'listen' }] };
    case 'configuration.adopted': {
      const { configuration } = message;
      const { maxBodyBytes } = configuration.limits;
      return {
        state: { ...state, configuration },
        commands: [{ kind: 'set-max-body-bytes', maxBodyBytes }],
      };
    }
    case 'callers.listening':
      return { state, commands: [{ kind: 'record-listening', address: message.address }] };
    case 'http.request-received':
      return onRequest(state, message, now);
    case 'exchange.begun':
      return { state, commands: [{ kind: 'attach-exchange', begun: message }] };
    case 'http.flow-control':
      return {
        state,
        commands: [{ kind: 'flow', requestId: message.requestId, flow: message.flow }],
      };
    case 'http.caller-disconnected':
      return onCallerDisconnected(state, message.requestId);
    case 'response.started':
    case 'response.token':
      return { state, commands: [{ kind: 'write', answer: message }] };
    case 'response.ended':
    case 'response.complete':
    case 'response.refused':
      return onLastResponse(state, message);
    case 'task.drain':
      return {
        state: { ...state, phase: 'leaving', drain: core.drain.begin(state.drain, now) },
        commands: [{ kind: 'start-drain' }],
      };
    case 'callers.balancer-lag-elapsed':
      return finishDrain({ ...state, phase: 'closed' }, [{ kind: 'close' }]);
    case 'callers.closed':
      return { state, commands: [] };
    case 'task.stop':
      return { state: { ...state, phase: 'closed' }, commands: [{ kind: 'close' }] };
    default:
      return core.results.assertNever(message);
  }
}

function onRequest(
  state: State,
  { requestId, readResult }: Extract<Message, { type: 'http.request-received' }>,
  now: core.kernel.Instant,
): Step {
  const { configuration } = state;
  if (!configuration) {
    return refuse(state, requestId, core.results.failure('notConfigured', 'try again soon'));
  }
  switch (readResult.kind) {
    case 'malformed':
      return refuse(state, requestId, core.results.failure('malformedRequest', readResult.detail));
    case 'too-large': {
      const detail = `expected at most ${readResult.limitBytes} bytes`;
      return refuse(state, requestId, core.results.failure('bodyTooLarge', detail));
    }
    case 'whole': {
      const accepted = requests.accept(configuration, readResult.request, requestId);
      if (accepted.isErr()) return refuse(state, requestId, accepted.error);
      const admission = core.drain.admit(state.drain, workOf(accepted.value.request), now);
      if (admission.kind === 'refused') {
        const failure = core.results.failure('leaving', 'it might not end before the instance');
        return refuse(state, requestId, failure, admission.retryAfterMs);
      }
      state.openRequestIds.add(requestId);
      return { state, commands: [{ kind: 'begin', accepted: accepted.value }] };
    }
    default:
      return core.results.assertNever(readResult);
  }
}

/** A prompt has a deadline for its first token only. */
function workOf(request: core.messages.CallerRequest): core.drain.Work {
  switch (request.kind) {
    case 'prompt':
      return { retryPolicy: 'resumable', timeoutMs: Infinity, expectedMs: Infinity };
    case 'plain': {
      const { timeoutMs } = request.service;
      const isSafe = core.exchange.plain.isSafe(request);
      const retryPolicy = isSafe ? 'retryable' : 'at-most-once';
      return { retryPolicy, timeoutMs, expectedMs: timeoutMs };
    }
    default:
      return core.results.assertNever(request);
  }
}

function refuse(
  state: State,
  requestId: string,
  failure: core.results.Failure,
  retryAfterMs = failure.code === 'notConfigured' ? NOT_CONFIGURED_RETRY_MS : undefined,
): Step {
  const refusal: Refusal = {
    type: 'response.refused',
    requestId,
    failure,
    truth: 'not-run',
    retryAfterMs,
  };
  return { state, commands: [{ kind: 'refuse', refusal }] };
}

const NOT_CONFIGURED_RETRY_MS = 1_000;

function onLastResponse(state: State, answer: core.messages.CallerResponse): Step {
  state.openRequestIds.delete(answer.requestId);
  return finishDrain(state, [{ kind: 'write', answer }]);
}

function onCallerDisconnected(state: State, requestId: string): Step {
  if (!state.openRequestIds.delete(requestId)) return { state, commands: [] };
  return finishDrain(state, [{ kind: 'cancel', requestId }]);
}

/** Completes the drain once the server is closed to new requests and no request is open. */
function finishDrain(state: State, commands: readonly Command[]): Step {
  const isDrained = state.phase === 'closed' && state.openRequestIds.size === 0;
  return { state, commands: isDrained ? [...commands, { kind: 'left' }] : commands };
}

function perform(
  context: core.kernel.TaskContext<Message>,
  sockets: connections.Connections,
  command: Command,
): void {
  switch (command.kind) {
    case 'listen':
      sockets.listen();
      return;
    case 'begin':
      sockets.expect(command.accepted);
      context.send('exchange', {
        type: 'exchange.begin',
        request: command.accepted.request,
        caller: context.self,
        onBegun: context.self,
      });
      return;
    case 'refuse':
      sockets.write(command.refusal);
      return;
    case 'write':
      sockets.write(command.answer);
      return;
    case 'attach-exchange':
      sockets.attachExchange(command.begun);
      return;
    case 'flow':
      sockets.tell(command.requestId, { type: 'exchange.flow-control', flow: command.flow });
      return;
    case 'cancel':
      sockets.tell(command.requestId, { type: 'exchange.caller-disconnected' });
      return;
    case 'set-max-body-bytes':
      sockets.setMaxBodyBytes(command.maxBodyBytes);
      return;
    case 'start-drain':
      sockets.startDrain();
      context.schedule('balancer-lag', context.settings.balancerLagMs, {
        type: 'callers.balancer-lag-elapsed',
      });
      return;
    case 'close':
      sockets.close();
      return;
    case 'left':
      context.send('claims', { type: 'claims.callers-finished' });
      context.drained();
      return;
    case 'record-listening':
      context.record({ name: 'instanceListening', details: { callers: command.address } });
      return;
    default:
      core.results.assertNever(command);
  }
}
