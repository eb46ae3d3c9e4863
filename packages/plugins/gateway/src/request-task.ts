/** The task of one request: carries out what the decisions about it ask for. */
import * as core from '@medlarweir/core';

type Message = core.messages.RequestMessage;
type State = core.gateway.lifecycleState.State;
type Command = core.gateway.lifecycleState.Command;
type Given = core.gateway.lifecycleState.RoutedRequest;
type Settings = core.settings.gateway.GatewaySettings;

type Scope = {
  given: Given;
  caller: core.messages.ReplyAddress;
  surroundings: core.kernel.TaskContext<Message, Settings>;
  history: History;
};

/** What the journal's line about the request says of its attempts; written by the shell only. */
type History = {
  upstreams: string[];
  expected: core.messages.ExpectedWork[];
  outcomes: string[];
  firstEventMs: number | undefined;
};

/** The most urgent and the least urgent value that upstreams know. */
const MAX_PRIORITY = 9;
/** Stands in the journal for a stream of which no event came. */
const NO_EVENT = -1;

export function definition(
  given: Given,
  caller: core.messages.ReplyAddress,
): core.kernel.TaskDefinition<State, Message, Command, Settings> {
  return {
    name: 'request',
    create: (surroundings) => {
      const scope = { given, caller, surroundings, history: blank() };
      return {
        initial: core.gateway.lifecycleState.initial(given),
        decide: core.gateway.lifecycle.decide,
        perform: (command) => perform(scope, command),
        dump,
        isDone: ({ phase }) => phase.kind === 'ended',
      };
    },
  };
}

function blank(): History {
  return { upstreams: [], expected: [], outcomes: [], firstEventMs: undefined };
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

function perform(scope: Scope, command: Command): void {
  const { given, surroundings } = scope;
  const { self, send } = surroundings;
  const { requestId } = given.request;
  switch (command.kind) {
    case 'place':
      place(scope, command);
      return;
    case 'send':
      sendAttempt(scope, command);
      return;
    case 'abort':
      send('transport', { type: 'transport.abort', attempt: command.attempt });
      return;
    case 'ask-retry-budget':
      send('gateway', { type: 'gateway.ask-retry-budget', service: given.service, replyTo: self });
      return;
    case 'check-liveness': {
      const { id, placement } = command.attempt;
      const { upstream } = placement;
      send('fleet', { type: 'fleet.check-liveness', attempt: id, upstream, replyTo: self });
      return;
    }
    case 'reply':
      if (command.reply.type === 'reply.head') noteFirstEvent(scope);
      scope.caller.send(command.reply);
      return;
    case 'schedule':
      surroundings.schedule(command.timer, command.delayMs, {
        type: 'request.timer-fired',
        timer: command.timer,
      });
      return;
    case 'unschedule':
      surroundings.unschedule(command.timer);
      return;
    case 'report':
      report(scope, command);
      return;
    case 'record-failed-attempt':
      surroundings.record({
        name: 'attemptFailed',
        requestId,
        details: { upstream: command.upstream, reason: command.reason },
      });
      return;
    case 'record-request-end':
      noteEnd(scope, command.outcome);
      return;
    default:
      core.results.assertNever(command);
  }
}

function place(
  { given, surroundings }: Scope,
  { excluded, mayRefuse }: Extract<Command, { kind: 'place' }>,
): void {
  const { request, route, service, clientAccount } = given;
  const { latencyTargetMs } = route;
  const isolatedAccount = clientAccount?.isIsolated ? clientAccount.name : undefined;
  const { requestId, prompt } = request;
  surroundings.send('fleet', {
    type: 'fleet.place',
    placementRequest: {
      requestId,
      service,
      prompt,
      isolatedAccount,
      excludedUpstreams: excluded,
      latencyTargetMs,
      mayRefuse,
    },
    replyTo: surroundings.self,
  });
}

function sendAttempt(
  { given, surroundings, history }: Scope,
  { attempt, lastEventId, deadlineMs }: Extract<Command, { kind: 'send' }>,
): void {
  const { request, route, clientAccount } = given;
  const priority = clientAccount?.priority ?? route.priority;
  history.upstreams.push(attempt.placement.upstream);
  history.expected.push(attempt.placement.expected);
  surroundings.send('transport', {
    type: 'transport.send',
    send: {
      attempt: attempt.id,
      request,
      placement: attempt.placement,
      clientAccount: clientAccount?.name,
      priority: Math.max(0, Math.min(MAX_PRIORITY, priority)),
      delivery: route.responseMode,
      mayRepeat: core.gateway.attemptResult.mayRetryAfterRun(route.retryPolicy),
      deadlineMs,
      lastEventId,
      replyTo: surroundings.self,
    },
  });
}

function report(
  { given, surroundings, history }: Scope,
  { attempt, outcome }: Extract<Command, { kind: 'report' }>,
): void {
  const { requestId } = given.request;
  history.outcomes.push(outcome);
  const { upstream } = attempt.placement;
  surroundings.send('fleet', { type: 'fleet.attempt-ended', requestId, upstream, outcome });
}

function noteFirstEvent({ given, surroundings, history }: Scope): void {
  const ms = core.kernel.readClock().monotonicMs - given.request.receivedAt.monotonicMs;
  Object.assign(history, { firstEventMs: Math.round(ms) });
  surroundings.send('metrics', { type: 'metrics.timing', name: 'gateway.first_event', ms });
}

function noteEnd(
  { given, surroundings, history }: Scope,
  { result, status, reason }: core.gateway.lifecycleState.RequestOutcome,
): void {
  const { request, route, service, clientAccount, tableVersion, tableAgeMs } = given;
  const now = core.kernel.readClock();
  const tookMs = Math.round(now.monotonicMs - request.receivedAt.monotonicMs);
  surroundings.record({
    name: 'requestFinished',
    requestId: request.requestId,
    details: {
      result,
      status,
      reason,
      tookMs,
      firstEventMs: history.firstEventMs ?? NO_EVENT,
      route: route.name,
      service,
      clientAccount: clientAccount?.name ?? '',
      upstreams: history.upstreams,
      expectedWaitMs: history.expected.map(({ waitMs }) => String(waitMs)),
      tokensToRead: history.expected.map(({ tokensToRead }) => String(tokensToRead)),
      outcomes: history.outcomes,
      tableVersion,
      tableAgeMs,
    },
  });
  const { send } = surroundings;
  send('metrics', { type: 'metrics.count', name: 'gateway.requests', by: 1, label: result });
  send('metrics', { type: 'metrics.timing', name: 'gateway.whole', ms: tookMs });
}
