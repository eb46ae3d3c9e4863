/** The task of one request: executes the commands that `core.exchange` decides on. */
import * as core from '@medlarweir/core';

type Message = core.messages.ExchangeMessage;
type Command = core.exchange.Command;
type State =
  | { kind: 'prompt'; prompt: core.exchange.prompt.State }
  | { kind: 'plain'; plain: core.exchange.plain.State };

/** The request, the address that its responses go to, and the context of its task. */
type RequestContext = {
  request: core.messages.CallerRequest;
  caller: core.kernel.Address<core.messages.CallerResponse>;
  context: core.kernel.TaskContext<Message>;
};

export function definition(
  request: core.messages.CallerRequest,
  caller: core.kernel.Address<core.messages.CallerResponse>,
): core.kernel.TaskDefinition<State, Message, Command> {
  return {
    name: 'request',
    create: (context) => ({
      initial: initial(request),
      decide,
      perform: (command) => perform({ request, caller, context }, command),
      dump,
      isDone,
    }),
  };
}

function initial(request: core.messages.CallerRequest): State {
  switch (request.kind) {
    case 'prompt':
      return { kind: 'prompt', prompt: core.exchange.promptState.initial(request) };
    case 'plain':
      return { kind: 'plain', plain: core.exchange.plain.initial(request) };
    default:
      return core.results.assertNever(request);
  }
}

function decide(
  state: State,
  message: Message,
  now: core.kernel.Instant,
): core.kernel.Step<State, Command> {
  switch (state.kind) {
    case 'prompt': {
      const step = core.exchange.prompt.decide(state.prompt, message, now);
      return { state: { kind: 'prompt', prompt: step.state }, commands: step.commands };
    }
    case 'plain': {
      const step = core.exchange.plain.decide(state.plain, message, now);
      return { state: { kind: 'plain', plain: step.state }, commands: step.commands };
    }
    default:
      return core.results.assertNever(state);
  }
}

function isDone(state: State): boolean {
  const { phase } = state.kind === 'prompt' ? state.prompt : state.plain;
  return phase.kind === 'ended';
}

function dump(state: State): unknown {
  const { request, phase, attempt } = state.kind === 'prompt' ? state.prompt : state.plain;
  return {
    requestId: request.requestId,
    clientAccount: request.clientAccount.name,
    service: request.service.name,
    phase: phase.kind,
    attempt,
  };
}

function perform(scope: RequestContext, command: Command): void {
  const { context, request, caller } = scope;
  const { self, send } = context;
  const { requestId } = request;
  switch (command.kind) {
    case 'ask-admission':
      acquireAdmission(scope);
      return;
    case 'release-admission':
      send('admission', { type: 'admission.release', requestId });
      return;
    case 'plan-prompt':
      send('routing', { type: 'routing.place-prompt', outline: command.outline, replyTo: self });
      return;
    case 'plan-call':
      send('routing', {
        type: 'routing.place-call',
        requestId,
        service: request.service.name,
        excluded: command.excluded,
        replyTo: self,
      });
      return;
    case 'import':
      send('routing', { type: 'routing.request-import', order: command.order, replyTo: self });
      return;
    case 'run':
      send('upstreams', { type: 'upstreams.run', order: command.order, replyTo: self });
      return;
    case 'resume':
      send('upstreams', {
        type: 'upstreams.resume',
        runId: command.runId,
        upstream: command.upstream,
        offset: command.offset,
        replyTo: self,
      });
      return;
    case 'cancel':
      send('upstreams', {
        type: 'upstreams.cancel',
        runId: command.runId,
        upstream: command.upstream,
      });
      return;
    case 'flow':
      send('upstreams', {
        type: 'upstreams.flow-control',
        runId: command.runId,
        flow: command.flow,
      });
      return;
    case 'replace-connections':
      send('upstreams', { type: 'upstreams.replace-connections', upstream: command.upstream });
      return;
    case 'ask-retry-budget':
      send('exchange', { type: 'exchange.ask-retry-budget', replyTo: self });
      return;
    case 'claim':
      send('claims', {
        type: 'claims.claim',
        requestId,
        clientAccount: request.clientAccount.name,
        key: command.key,
        digest: command.digest,
        timeoutMs: command.timeoutMs,
        replyTo: self,
      });
      return;
    case 'record':
      send('claims', {
        type: 'claims.record-outcome',
        requestId,
        claim: command.claim,
        outcome: command.outcome,
        replyTo: self,
      });
      return;
    case 'call':
      send('upstreams', { type: 'upstreams.call', call: command.call, replyTo: self });
      return;
    case 'report':
      send('routing', {
        type: 'routing.request-finished',
        requestId,
        upstream: command.upstream,
        outcome: command.outcome,
      });
      return;
    case 'answer':
      caller.send(command.answer);
      return;
    case 'schedule':
      context.schedule(command.timer, command.delayMs, {
        type: 'exchange.timer-fired',
        timer: command.timer,
      });
      return;
    case 'unschedule':
      context.unschedule(command.timer);
      return;
    case 'record-event':
      context.record({ name: command.name, requestId, details: command.details });
      return;
    case 'count':
      send('metrics', { type: 'metrics.count', name: command.name, by: command.by });
      return;
    default:
      core.results.assertNever(command);
  }
}

function acquireAdmission({ context, request }: RequestContext): void {
  const { service } = request;
  context.send('admission', {
    type: 'admission.acquire',
    requestId: request.requestId,
    clientAccount: request.clientAccount.name,
    service: service.name,
    priority: service.priority,
    deadlineMs: service.kind === 'model' ? service.deadlineMs : service.timeoutMs,
    replyTo: context.self,
  });
}
