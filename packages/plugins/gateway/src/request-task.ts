/** Task that handles one request: executes the commands of the request lifecycle. */
import * as crypto from 'node:crypto';

import * as core from '@medlarweir/core';

import * as requestHistory from './request-history.js';
import * as canarySample from './canary-sample.js';

type Message = core.messages.RequestMessage;
type State = core.gateway.lifecycleState.State;
type Command = core.gateway.lifecycleState.Command;
type RequestContext = requestHistory.RequestContext;
type RoutedRequest = core.gateway.lifecycleState.RoutedRequest;
type Settings = core.settings.gateway.GatewaySettings;

export function definition(
  routed: RoutedRequest,
  caller: core.messages.ReplyAddress,
): core.kernel.TaskDefinition<State, Message, Command, Settings> {
  return {
    name: 'request',
    create: (context) => {
      const { request, clientAccount } = routed;
      const content = core.gateway.requestContent.nameOf(request, clientAccount?.name ?? '');
      const history = requestHistory.empty();
      const scope = { routed, content, caller, context, relay: crypto.randomUUID(), history };
      return {
        initial: core.gateway.lifecycleState.initial(routed),
        decide: core.gateway.lifecycle.decide,
        perform: (command) => perform(scope, command),
        dump,
        isDone: ({ phase }) => phase.kind === 'ended',
      };
    },
  };
}

function dump({ routed, phase, sentAttempts, possibleRuns }: State): unknown {
  const { request, route, service } = routed;
  return {
    requestId: request.requestId,
    route: route.name,
    service,
    phase: phase.kind,
    sends: sentAttempts,
    runs: possibleRuns,
  };
}

function perform(scope: RequestContext, command: Command): void {
  const { routed, context } = scope;
  const { self, send } = context;
  const { requestId } = routed.request;
  switch (command.kind) {
    case 'find-origin': {
      const { stream } = command;
      const { service } = routed;
      send('streamOrigins', {
        type: 'stream-origins.find',
        requestId,
        stream,
        service,
        replyTo: self,
      });
      return;
    }
    case 'report-stream': {
      const { stream, version, endsAtMs } = command;
      const { service } = routed;
      send('streamOrigins', {
        type: 'stream-origins.begun',
        stream,
        service,
        version,
        endsAtMs,
      });
      return;
    }
    case 'place':
      requestPlacement(scope, command);
      return;
    case 'withdraw-placement':
      send('fleet', { type: 'fleet.withdraw', requestId });
      return;
    case 'send':
      sendAttempt(scope, command);
      return;
    case 'abort':
      send('transport', { type: 'transport.abort', attempt: command.attempt });
      return;
    case 'relay':
      relay(scope, command);
      return;
    case 'abort-relay':
      send('relays', { type: 'relays.abort', relay: scope.relay });
      return;
    case 'record-relayed':
      scope.history.relayedTo.push(command.peer);
      return;
    case 'ask-retry-budget':
      send('gateway', { type: 'gateway.ask-retry-budget', service: routed.service, replyTo: self });
      return;
    case 'check-liveness': {
      const { id, destination } = command.attempt;
      const { upstream } = destination;
      send('fleet', { type: 'fleet.check-liveness', attempt: id, upstream, replyTo: self });
      return;
    }
    case 'check-begin':
      checkBegin(scope, command);
      return;
    case 'reply':
      requestHistory.recordReply(scope, command.reply);
      scope.caller.send(command.reply);
      return;
    case 'schedule':
      context.schedule(command.timer, command.delayMs, {
        type: 'request.timer-fired',
        timer: command.timer,
      });
      return;
    case 'unschedule':
      context.unschedule(command.timer);
      return;
    case 'report':
      reportOutcome(scope, command);
      return;
    case 'report-begun': {
      const { upstream } = command.attempt.destination;
      const { survived } = command;
      send('fleet', { type: 'fleet.attempt-begun', requestId, upstream, survived });
      return;
    }
    case 'record-failed-attempt':
      context.record({
        name: 'attemptFailed',
        requestId,
        details: { upstream: command.upstream, reason: command.reason },
      });
      return;
    case 'record-request-end':
      requestHistory.recordRequestEnd(scope, command.outcome);
      return;
    default:
      core.results.assertNever(command);
  }
}

function requestPlacement(
  { routed, content, context }: RequestContext,
  { excluded, softwareVersion, mayRefuse, isRepeat, waiting }: Extract<Command, { kind: 'place' }>,
): void {
  const { request, route, service, clientAccount } = routed;
  const { latencyTargetMs } = route;
  const isolatedAccount = clientAccount?.isIsolated ? clientAccount.name : undefined;
  const { requestId, prompt } = request;
  context.send('fleet', {
    type: 'fleet.place',
    placementRequest: {
      requestId,
      service,
      prompt,
      content,
      clientAccount: clientAccount?.name ?? '',
      isolatedAccount,
      excludedUpstreams: excluded,
      softwareVersion,
      beginsStream: route.retryPolicy === 'resumable' && softwareVersion === undefined,
      latencyTargetMs,
      mayRefuse,
      isRepeat,
      isResumed: core.gateway.lifecycleState.isResumed({ routed }),
      waiting,
    },
    replyTo: context.self,
  });
}

function sendAttempt(
  { routed, context, history }: RequestContext,
  { attempt, lastEventId, deadlineAtMs }: Extract<Command, { kind: 'send' }>,
): void {
  const { request, route, clientAccount } = routed;
  const priority = core.promptMix.priority.priorityOf({
    rank: clientAccount?.priority ?? route.priority,
    turn: attempt.destination.turn ?? { kind: 'by-rank' },
    isResumed: core.gateway.lifecycleState.isResumed({ routed }),
    waitedMs: core.kernel.readClock().monotonicMs - request.receivedAt.monotonicMs,
    latencyTargetMs: route.latencyTargetMs,
  });
  requestHistory.recordSend(history, attempt.destination);
  context.send('transport', {
    type: 'transport.send',
    request: {
      attempt: attempt.id,
      request,
      destination: attempt.destination,
      clientAccount: clientAccount?.name,
      priority,
      delivery: route.responseMode,
      mayRepeat: core.gateway.attemptResult.mayRetryAfterRun(route.retryPolicy),
      deadlineAtMs,
      lastEventId,
      replyTo: context.self,
    },
  });
}

function relay(
  { routed: { request, route, service }, context, relay: id }: RequestContext,
  { deadlineAtMs }: Extract<Command, { kind: 'relay' }>,
): void {
  const { responseMode: delivery } = route;
  const replyTo = context.self;
  const relayRequest = { relay: id, request, delivery, deadlineAtMs, replyTo };
  context.send('gateway', { type: 'gateway.request-relayed', service });
  context.send('relays', { type: 'relays.send', relayRequest });
}

function checkBegin(
  { routed, context }: RequestContext,
  { attempt: { id: attempt, destination } }: Extract<Command, { kind: 'check-begin' }>,
): void {
  const model = routed.request.prompt?.model ?? '';
  const { upstream } = destination;
  context.send('fleet', {
    type: 'fleet.check-begin',
    attempt,
    upstream,
    model,
    replyTo: context.self,
  });
}

function reportOutcome(
  { routed, context, history }: RequestContext,
  { attempt, outcome }: Extract<Command, { kind: 'report' }>,
): void {
  const { requestId } = routed.request;
  history.outcomes.push(outcome);
  const { upstream } = attempt.destination;
  canarySample.send(context, routed, attempt, outcome);
  context.send('fleet', { type: 'fleet.attempt-ended', requestId, upstream, outcome });
}
