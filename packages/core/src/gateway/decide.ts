/**
 * Decisions of the gateway task: which routing table is active, whether a request is accepted or
 * refused, whether a retry is granted, and whether the instance is ready.
 */
import * as drain from '../drain/drain.js';
import type * as task from '../kernel/task.js';
import * as rendezvous from '../membership/rendezvous.js';
import type * as messages from '../messages/gateway.js';
import type * as codes from '../results/codes.js';
import * as results from '../results/index.js';
import * as access from './access.js';
import * as staleness from './staleness.js';
import * as lifecycleState from './lifecycle-state.js';
import * as lifecycleTimers from './lifecycle-timers.js';
import type * as request from './request.js';
import * as retryBudget from './retry-budget.js';
import * as routes from './routes.js';

export type Bounds = staleness.StalenessBounds &
  drain.Bounds & {
    retryWindowMs: number;
    retryRatio: number;
    retryExtra: number;
  };

export type State = {
  bounds: Bounds;
  known: access.Known;
  hasUpstreamList: boolean;
  hasVerdictList: boolean;
  hasWeightsList: boolean;
  isReady: boolean;
  instances: number;
  startedAtMs: number;
  retryUsage: ReadonlyMap<string, retryBudget.Usage>;
  drain: drain.Drain;
};

export type Command =
  | {
      kind: 'spawn';
      routed: lifecycleState.RoutedRequest;
      caller: messages.ReplyAddress;
      onBegun: (begun: messages.RequestAddress) => void;
    }
  | { kind: 'refuse'; caller: messages.ReplyAddress; reply: request.Reply }
  | { kind: 'record-refused'; request: request.Request; code: codes.CodeName; ageMs: number }
  | { kind: 'answer-retry'; replyTo: messages.RequestAddress; isGranted: boolean }
  | { kind: 'adopt'; table: routes.RoutingTable; previous: number | undefined }
  | { kind: 'readiness'; isReady: boolean; reason: string }
  | { kind: 'schedule-tick' };

export type Step = task.Step<State, Command>;

/** Interval of the readiness check: well within the load balancer's one second. */
export const TICK_MS = 250;
/** Retry delay given with a 503: time for the load balancer to choose another instance. */
const EXPIRED_RETRY_AFTER_MS = 400;
/** Instances that may start in addition to the known ones. */
const SPARE_INSTANCES = 1;

export function initial(bounds: Bounds, now: task.Instant): State {
  return {
    bounds,
    known: { index: undefined, confirmations: { tableAt: undefined, evacuationsAt: undefined } },
    hasUpstreamList: false,
    hasVerdictList: false,
    hasWeightsList: false,
    isReady: false,
    instances: 1,
    startedAtMs: now.monotonicMs,
    retryUsage: new Map(),
    drain: drain.serving(bounds),
  };
}

export function decide(state: State, message: messages.GatewayMessage, now: task.Instant): Step {
  switch (message.type) {
    case 'gateway.begin-request':
      return onBegin(state, message, now);
    case 'gateway.request-relayed':
      return { state: withoutRequest(state, message.service), commands: [] };
    case 'gateway.ask-retry-budget':
      return onAskRetry(state, message, now);
    case 'gateway.table-read':
      return onTable(state, message.table, message.askedAt, now);
    case 'gateway.table-confirmed':
      return updateReadiness(withConfirmation(state, 'tableAt', message.askedAt), now);
    case 'gateway.evacuations-confirmed':
      return updateReadiness(withConfirmation(state, 'evacuationsAt', message.askedAt), now);
    case 'gateway.weights-known':
      return updateReadiness({ ...state, hasWeightsList: true }, now);
    case 'gateway.members-changed':
      return { state: { ...state, instances: message.instances + SPARE_INSTANCES }, commands: [] };
    case 'gateway.upstreams-known':
      return updateReadiness({ ...state, hasUpstreamList: true }, now);
    case 'gateway.verdicts-known':
      return updateReadiness({ ...state, hasVerdictList: true }, now);
    case 'gateway.tick':
      return onTick(state, now);
    case 'task.start':
      return { state, commands: [{ kind: 'schedule-tick' }] };
    case 'task.drain':
      return updateReadiness({ ...state, drain: drain.begin(state.drain, now) }, now);
    case 'task.stop':
      return { state, commands: [] };
    default:
      return results.assertNever(message);
  }
}

function onTick(state: State, now: task.Instant): Step {
  const step = updateReadiness(state, now);
  return { state: step.state, commands: [{ kind: 'schedule-tick' }, ...step.commands] };
}

function onBegin(
  state: State,
  {
    request: incoming,
    caller,
    onBegun,
  }: Extract<messages.GatewayMessage, { type: 'gateway.begin-request' }>,
  now: task.Instant,
): Step {
  const decision = access.check(state.known, incoming, state.bounds, now);
  switch (decision.kind) {
    case 'denied':
      return { state, commands: refuse(state, incoming, caller, decision, now) };
    case 'allowed': {
      const { route, clientAccount } = decision;
      const admission = drain.admit(state.drain, workOf(incoming, route, now), now);
      if (admission.kind === 'refused') {
        const { retryAfterMs } = admission;
        const denied = { code: 'leaving' as const, detail: route.name, retryAfterMs };
        return { state, commands: refuse(state, incoming, caller, denied, now) };
      }
      const draw = rendezvous.hashFraction(incoming.requestId, route.name);
      const service = routes.chooseService(route, draw);
      const routed = {
        request: incoming,
        route,
        service,
        clientAccount,
        tableVersion: state.known.index?.table.version ?? 0,
        tableAgeMs: tableAgeMs(state, now),
        drain: state.drain,
      };
      return {
        state: countRequest(state, service, now),
        commands: [{ kind: 'spawn', routed, caller, onBegun }],
      };
    }
    default:
      return results.assertNever(decision);
  }
}

function workOf(incoming: request.Request, route: routes.Route, now: task.Instant): drain.Work {
  return {
    retryPolicy: route.retryPolicy,
    timeoutMs: lifecycleState.ownDeadlineAtMs(incoming, route) - now.monotonicMs,
    expectedMs: lifecycleTimers.expectedMs(route),
  };
}

type Denial = { code: codes.CodeName; detail: string; retryAfterMs?: number };

function refuse(
  state: State,
  incoming: request.Request,
  caller: messages.ReplyAddress,
  { code, detail, retryAfterMs: comeBackMs = EXPIRED_RETRY_AFTER_MS }: Denial,
  now: task.Instant,
): readonly Command[] {
  const { status } = results.resultCodes[code];
  const retryAfterMs = status === 503 ? comeBackMs : undefined;
  const description = results.describe(results.failure(code, detail));
  return [
    {
      kind: 'refuse',
      caller,
      reply: { type: 'reply.refuse', status, detail: description, retryAfterMs },
    },
    { kind: 'record-refused', request: incoming, code, ageMs: tableAgeMs(state, now) },
  ];
}

/** Returns milliseconds since the active table was confirmed, -1 if it never was. */
export function tableAgeMs({ known }: State, now: task.Instant): number {
  const { tableAt } = known.confirmations;
  return tableAt ? Math.round(staleness.ageMs(tableAt, now)) : -1;
}

function retryLimits({ bounds, instances, startedAtMs }: State): retryBudget.Limits {
  return {
    windowMs: bounds.retryWindowMs,
    retriesPerRequest: bounds.retryRatio,
    extraRetries: bounds.retryExtra,
    instances,
    startedAtMs,
  };
}

function countRequest(state: State, service: string, now: task.Instant): State {
  const before = state.retryUsage.get(service) ?? retryBudget.unused;
  const usage = retryBudget.recordRequest(before, now.monotonicMs, retryLimits(state));
  return { ...state, retryUsage: new Map(state.retryUsage).set(service, usage) };
}

function withoutRequest(state: State, service: string): State {
  const usage = retryBudget.withdrawRequest(state.retryUsage.get(service) ?? retryBudget.unused);
  return { ...state, retryUsage: new Map(state.retryUsage).set(service, usage) };
}

function onAskRetry(
  state: State,
  { service, replyTo }: Extract<messages.GatewayMessage, { type: 'gateway.ask-retry-budget' }>,
  now: task.Instant,
): Step {
  const before = state.retryUsage.get(service) ?? retryBudget.unused;
  const usage = retryBudget.spendRetry(before, now.monotonicMs, retryLimits(state));
  const retryUsage = usage ? new Map(state.retryUsage).set(service, usage) : state.retryUsage;
  return {
    state: { ...state, retryUsage },
    commands: [{ kind: 'answer-retry', replyTo, isGranted: usage !== undefined }],
  };
}

/** Adopts a newer table. Ignores an older one, which a stale response may contain. */
function onTable(
  state: State,
  table: routes.RoutingTable,
  askedAt: task.Instant,
  now: task.Instant,
): Step {
  const activeVersion = state.known.index?.table.version;
  if (activeVersion !== undefined && table.version < activeVersion) return { state, commands: [] };
  const confirmed = withConfirmation(state, 'tableAt', askedAt);
  if (activeVersion === table.version) return updateReadiness(confirmed, now);
  const adopted = {
    ...confirmed,
    known: { ...confirmed.known, index: routes.buildIndex(table) },
  };
  const step = updateReadiness(adopted, now);
  return {
    state: step.state,
    commands: [{ kind: 'adopt', table, previous: activeVersion }, ...step.commands],
  };
}

function withConfirmation(
  state: State,
  what: keyof staleness.Confirmations,
  askedAt: task.Instant,
): State {
  const { known } = state;
  const before = known.confirmations[what];
  if (before && before.monotonicMs >= askedAt.monotonicMs) return state;
  const confirmations = { ...known.confirmations, [what]: askedAt };
  return { ...state, known: { ...known, confirmations } };
}

/** The instance is ready while it can serve requests with a credential. */
function updateReadiness(state: State, now: task.Instant): Step {
  const { isReady, reason } = readiness(state, now);
  if (isReady === state.isReady) return { state, commands: [] };
  return { state: { ...state, isReady }, commands: [{ kind: 'readiness', isReady, reason }] };
}

function readiness(state: State, now: task.Instant): { isReady: boolean; reason: string } {
  const { bounds, known } = state;
  const freshness = staleness.freshness(known.confirmations, bounds, now);
  if (state.drain.kind === 'draining') return { isReady: false, reason: 'leaving' };
  if (!known.index) return { isReady: false, reason: 'no configuration' };
  if (!state.hasUpstreamList) return { isReady: false, reason: 'no list of upstreams' };
  if (!state.hasVerdictList) return { isReady: false, reason: 'no list of quarantined parts' };
  if (!state.hasWeightsList) return { isReady: false, reason: 'no list of weights' };
  if (freshness === 'expired') return { isReady: false, reason: 'configuration not confirmed' };
  if (staleness.areEvacuationsUnsure(known.confirmations, bounds, now)) {
    return { isReady: false, reason: 'evacuations not confirmed' };
  }
  return { isReady: true, reason: 'configuration confirmed' };
}
