/** The state of one request between its arrival and its last byte. */
import type * as task from '../kernel/task.js';
import type * as messages from '../messages/gateway.js';
import type * as codes from '../results/codes.js';
import type * as attemptResult from './attempt-result.js';
import type * as request from './request.js';
import type * as routes from './routes.js';

/** Fixed for the life of the request. */
export type RoutedRequest = {
  request: request.Request;
  route: routes.Route;
  service: string;
  clientAccount: routes.ClientAccount | undefined;
  /** The routing table that let the request in, and how old its confirmation was. */
  tableVersion: number;
  tableAgeMs: number;
};

export type Attempt = {
  id: string;
  destination: messages.Destination;
  startedAtMs: number;
};

export type Phase =
  | { kind: 'placing' }
  /** The budget is asked whether the request may be sent again; the attempt, if any, goes on. */
  | { kind: 'asking'; attempt: Attempt | undefined }
  | { kind: 'attempting'; attempt: Attempt }
  | { kind: 'ended' };

export type State = {
  routed: RoutedRequest;
  phase: Phase;
  /** Attempts that left this instance. */
  sentAttempts: number;
  /** Attempts that may have run: bounded by the route. */
  possibleRuns: number;
  /** Upstreams that are not asked again. */
  excluded: readonly string[];
  isHeadSent: boolean;
  /** When the present search for an upstream first found none. */
  noPlacementSinceMs: number | undefined;
  lastEventId: string | undefined;
  /** An upstream's own failure, handed on if no other upstream answers. */
  failure: Extract<attemptResult.Result, { kind: 'answered' }> | undefined;
  /** Why the last attempt did not end well, for the journal. */
  lastFailureReason: string;
};

export type Command =
  | { kind: 'place'; excluded: readonly string[]; mayRefuse: boolean }
  | { kind: 'send'; attempt: Attempt; lastEventId: string | undefined; deadlineAtMs: number }
  | { kind: 'abort'; attempt: string }
  | { kind: 'ask-retry-budget' }
  | { kind: 'check-liveness'; attempt: Attempt }
  | { kind: 'reply'; reply: request.Reply }
  | { kind: 'schedule'; timer: messages.RequestTimer; delayMs: number }
  | { kind: 'unschedule'; timer: messages.RequestTimer }
  | { kind: 'report'; attempt: Attempt; outcome: AttemptOutcome }
  | { kind: 'record-failed-attempt'; upstream: string; reason: string }
  | { kind: 'record-request-end'; outcome: RequestOutcome };

/** What the fleet learns from an attempt. */
export type AttemptOutcome =
  | 'answered'
  | 'failed'
  | 'rejected'
  | 'unreachable'
  | 'no-connection'
  | 'broken'
  | 'silent'
  | 'cancelled';

/** How the request ended, for journal and metrics. */
export type RequestOutcome = {
  result: 'answered' | 'cut' | 'left' | codes.CodeName;
  status: number;
  /** Why the last attempt or search did not succeed, if one did not. */
  reason: string;
};

export type Step = task.Step<State, Command>;

export function initial(given: RoutedRequest): State {
  return {
    routed: given,
    phase: { kind: 'placing' },
    sentAttempts: 0,
    possibleRuns: 0,
    excluded: [],
    isHeadSent: false,
    noPlacementSinceMs: undefined,
    lastEventId: given.request.lastEventId,
    failure: undefined,
    lastFailureReason: '',
  };
}

/** When the request has to be answered, by the monotonic clock. */
export function deadlineAtMs({
  request: { receivedAt, callerTimeoutMs },
  route,
}: RoutedRequest): number {
  return receivedAt.monotonicMs + Math.min(route.timeoutMs, callerTimeoutMs ?? Infinity);
}
