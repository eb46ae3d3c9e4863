/** State and commands of one request, from its arrival to its last byte. */
import * as drain from '../drain/drain.js';
import type * as waitClaims from '../fleet/wait-claims.js';
import type * as task from '../kernel/task.js';
import type * as messages from '../messages/gateway.js';
import type * as quarantine from '../quarantine/types.js';
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
  /** Routing table that admitted the request, and the age of its confirmation in ms. */
  tableVersion: number;
  tableAgeMs: number;
  /** The planned stop, if it had begun when the request came. */
  drain: drain.Drain;
};

export type Attempt = {
  id: string;
  destination: messages.Destination;
  startedAtMs: number;
  /** Whether the upstream has begun to answer. */
  hasBegun: boolean;
};

export type Phase =
  /** Waits to hear at which software version the resumed stream began. */
  | { kind: 'identifying' }
  | { kind: 'placing' }
  /** Waits for a place at the fleet task, which answers. */
  | { kind: 'queued' }
  /** Waits for the retry budget's decision; the attempt, if any, stays in flight. */
  | { kind: 'asking'; attempt: Attempt | undefined }
  | { kind: 'attempting'; attempt: Attempt }
  /** Another instance has the request, since this one reaches no upstream. */
  | { kind: 'relaying' }
  | { kind: 'ended' };

export type State = {
  routed: RoutedRequest;
  drain: drain.Drain;
  phase: Phase;
  /** Attempts that left this instance. */
  sentAttempts: number;
  /** Attempts that may have run; never more than the route's `maxRuns`. */
  possibleRuns: number;
  /** Upstreams that get no further attempt. */
  excluded: readonly string[];
  isHeadSent: boolean;
  /**
   * The attempt whose end may end the caller's stream: the one that began it, or the last one that went
   * on with an event.
   */
  streamedBy: string | undefined;
  /** When the current placement first found no upstream. */
  noPlacementSinceMs: number | undefined;
  lastEventId: string | undefined;
  /** The software version of the stream; set by its origin, or by the first placement. */
  softwareVersion: string | undefined;
  /** An upstream's error response, delivered if no other upstream answers. */
  failure: Extract<attemptResult.Result, { kind: 'answered' }> | undefined;
  /** Why the last attempt or placement failed, for the journal and for refusals. */
  lastFailureReason: string;
};

export type Command =
  | { kind: 'find-origin'; stream: string }
  | { kind: 'report-stream'; stream: string; version: string; endsAtMs: number }
  | {
      kind: 'place';
      excluded: readonly string[];
      softwareVersion: string | undefined;
      mayRefuse: boolean;
      isRepeat: boolean;
      waiting: waitClaims.Waiting;
    }
  /** The request ends, and waits for no place any more. */
  | { kind: 'withdraw-placement' }
  | { kind: 'send'; attempt: Attempt; lastEventId: string | undefined; deadlineAtMs: number }
  | { kind: 'abort'; attempt: string }
  | { kind: 'relay'; deadlineAtMs: number }
  | { kind: 'abort-relay' }
  | { kind: 'record-relayed'; peer: string }
  | { kind: 'ask-retry-budget' }
  | { kind: 'check-liveness'; attempt: Attempt }
  | { kind: 'check-begin'; attempt: Attempt }
  | { kind: 'reply'; reply: request.Reply }
  | { kind: 'schedule'; timer: messages.RequestTimer; delayMs: number }
  | { kind: 'unschedule'; timer: messages.RequestTimer }
  | { kind: 'report'; attempt: Attempt; outcome: AttemptOutcome }
  /** The attempt got through to its upstream’s answer. */
  | { kind: 'report-begun'; attempt: Attempt; survived: quarantine.Survived }
  | { kind: 'record-failed-attempt'; upstream: string; reason: string }
  | { kind: 'record-request-end'; outcome: RequestOutcome };

/** Outcome of an attempt as reported to the fleet. */
export type AttemptOutcome =
  | 'answered'
  | 'failed'
  | 'rejected'
  | 'unreachable'
  | 'no-connection'
  | 'broken'
  | 'silent'
  | 'cancelled';

/** End of a request, for journal and metrics. `cut`: aborted; `left`: the caller disconnected. */
export type RequestOutcome = {
  result: 'answered' | 'cut' | 'left' | codes.CodeName;
  status: number;
  /** Why the last attempt or placement failed; empty if none did. */
  reason: string;
};

export type Step = task.Step<State, Command>;

export function initial(routed: RoutedRequest): State {
  return {
    routed,
    drain: routed.drain,
    phase: { kind: 'placing' },
    sentAttempts: 0,
    possibleRuns: 0,
    excluded: [],
    isHeadSent: false,
    streamedBy: undefined,
    noPlacementSinceMs: undefined,
    lastEventId: routed.request.lastEventId,
    softwareVersion: undefined,
    failure: undefined,
    lastFailureReason: '',
  };
}

/** Whether the caller has events of the stream from an attempt before. */
export function isResumed({
  routed: { request: incoming, route },
}: Pick<State, 'routed'>): boolean {
  return route.responseMode === 'stream' && (incoming.lastEventId ?? '') !== '';
}

/** The id by which the stream is taken up. */
export function streamOf({ routed: { request: incoming } }: State): string {
  return incoming.streamBegunBy ?? incoming.requestId;
}

/** Returns the monotonic time by which the request must be answered, also by its upstream. */
export function deadlineAtMs({ routed, drain: planned }: State): number {
  const { request: incoming, route } = routed;
  return Math.min(ownDeadlineAtMs(incoming, route), drain.answerAtMs(planned));
}

/** The same, as the route and the caller have it. */
export function ownDeadlineAtMs(
  { receivedAt, callerTimeoutMs }: request.Request,
  { timeoutMs }: routes.Route,
): number {
  return receivedAt.monotonicMs + Math.min(timeoutMs, callerTimeoutMs ?? Infinity);
}

/** Whether a planned stop ends the request before its own time. */
export function isCutShort(state: State): boolean {
  const { request: incoming, route } = state.routed;
  return deadlineAtMs(state) < ownDeadlineAtMs(incoming, route);
}

/** The upstream of the attempt in flight has begun to answer. */
export function withBegun(state: State): State {
  const { phase } = state;
  if (phase.kind !== 'attempting') return state;
  return { ...state, phase: { ...phase, attempt: { ...phase.attempt, hasBegun: true } } };
}
