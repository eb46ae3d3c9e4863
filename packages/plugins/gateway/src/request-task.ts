/** Task that handles one request: executes the commands of the request lifecycle. */
import * as core from '@medlarweir/core';

import * as canarySample from './canary-sample.js';

type Message = core.messages.RequestMessage;
type State = core.gateway.lifecycleState.State;
type Command = core.gateway.lifecycleState.Command;
type RoutedRequest = core.gateway.lifecycleState.RoutedRequest;
type Settings = core.settings.gateway.GatewaySettings;

type RequestContext = {
  routed: RoutedRequest;
  content: string;
  caller: core.messages.ReplyAddress;
  context: core.kernel.TaskContext<Message, Settings>;
  history: AttemptHistory;
};

/** Attempt data for the journal entry at the end of the request. Only `perform` writes it. */
type AttemptHistory = {
  upstreams: string[];
  softwareVersions: string[];
  expectedWork: core.messages.ExpectedWork[];
  outcomes: string[];
  firstEventMs: number | undefined;
};

/** Upstreams accept priorities from 0 (most urgent) to this value (least urgent). */
const MAX_PRIORITY = 9;
/** Value in the journal when no event of the response stream arrived. */
const NO_FIRST_EVENT_MS = -1;

export function definition(
  routed: RoutedRequest,
  caller: core.messages.ReplyAddress,
): core.kernel.TaskDefinition<State, Message, Command, Settings> {
  return {
    name: 'request',
    create: (context) => {
      const { request, clientAccount } = routed;
      const content = core.gateway.requestContent.nameOf(request, clientAccount?.name ?? '');
      const scope = { routed, content, caller, context, history: emptyHistory() };
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

function emptyHistory(): AttemptHistory {
  return {
    upstreams: [],
    softwareVersions: [],
    expectedWork: [],
    outcomes: [],
    firstEventMs: undefined,
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
    case 'send':
      sendAttempt(scope, command);
      return;
    case 'abort':
      send('transport', { type: 'transport.abort', attempt: command.attempt });
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
      if (command.reply.type === 'reply.head') recordFirstEvent(scope);
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
      recordRequestEnd(scope, command.outcome);
      return;
    default:
      core.results.assertNever(command);
  }
}

function requestPlacement(
  { routed, content, context }: RequestContext,
  { excluded, softwareVersion, mayRefuse, isRepeat }: Extract<Command, { kind: 'place' }>,
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
      latencyTargetMs,
      mayRefuse,
      isRepeat,
      isResumed: core.gateway.lifecycleState.isResumed({ routed }),
    },
    replyTo: context.self,
  });
}

function sendAttempt(
  { routed, context, history }: RequestContext,
  { attempt, lastEventId, deadlineAtMs }: Extract<Command, { kind: 'send' }>,
): void {
  const { request, route, clientAccount } = routed;
  const usual = clientAccount?.priority ?? route.priority;
  const priority = core.gateway.lifecycleState.isResumed({ routed }) ? usual - 1 : usual;
  history.upstreams.push(attempt.destination.upstream);
  history.softwareVersions.push(attempt.destination.softwareVersion);
  history.expectedWork.push(attempt.destination.expected);
  context.send('transport', {
    type: 'transport.send',
    request: {
      attempt: attempt.id,
      request,
      destination: attempt.destination,
      clientAccount: clientAccount?.name,
      priority: Math.max(0, Math.min(MAX_PRIORITY, priority)),
      delivery: route.responseMode,
      mayRepeat: core.gateway.attemptResult.mayRetryAfterRun(route.retryPolicy),
      deadlineAtMs,
      lastEventId,
      replyTo: context.self,
    },
  });
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

function recordFirstEvent({ routed, context, history }: RequestContext): void {
  const ms = core.kernel.readClock().monotonicMs - routed.request.receivedAt.monotonicMs;
  Object.assign(history, { firstEventMs: Math.round(ms) });
  context.send('metrics', { type: 'metrics.timing', name: 'gateway.first_event', ms });
}

/** Time for which an attempt's weights had been replaced when it was placed; `-` for the newest. */
function replacedForText({ replacedForMs }: core.messages.ExpectedWork): string {
  return replacedForMs === undefined ? '-' : String(Math.round(replacedForMs));
}

function recordRequestEnd(
  { routed, context, history }: RequestContext,
  { result, status, reason }: core.gateway.lifecycleState.RequestOutcome,
): void {
  const { request, route, service, clientAccount, tableVersion, tableAgeMs } = routed;
  const now = core.kernel.readClock();
  const tookMs = Math.round(now.monotonicMs - request.receivedAt.monotonicMs);
  context.record({
    name: 'requestFinished',
    requestId: request.requestId,
    details: {
      result,
      status,
      reason,
      tookMs,
      firstEventMs: history.firstEventMs ?? NO_FIRST_EVENT_MS,
      route: route.name,
      service,
      clientAccount: clientAccount?.name ?? '',
      upstreams: history.upstreams,
      softwareVersions: history.softwareVersions,
      streamBegunBy: request.streamBegunBy ?? '',
      expectedWaitMs: history.expectedWork.map(({ waitMs }) => String(waitMs)),
      tokensToRead: history.expectedWork.map(({ tokensToRead }) => String(tokensToRead)),
      weightVersions: history.expectedWork.map(({ weightVersion }) => String(weightVersion)),
      replacedForMs: history.expectedWork.map(replacedForText),
      outcomes: history.outcomes,
      tableVersion,
      tableAgeMs,
    },
  });
  const { send } = context;
  send('metrics', { type: 'metrics.count', name: 'gateway.requests', by: 1, label: result });
  send('metrics', { type: 'metrics.timing', name: 'gateway.whole', ms: tookMs });
}
