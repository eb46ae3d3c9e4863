/** Messages of the path from a caller's request to an upstream and back. */
import type * as attemptResult from '../gateway/attempt-result.js';
import type * as request from '../gateway/request.js';
import type * as routes from '../gateway/routes.js';
import type * as task from '../kernel/task.js';
import type * as context from '../shared-context/plan.js';
import type * as taskLifecycle from './task-lifecycle.js';

export type ReplyAddress = task.Address<request.Reply>;

/** Where an attempt goes and what it names of kept context there. */
export type Destination = {
  upstream: string;
  address: string;
  service: string;
  context: context.ContextPlan | undefined;
  expected: ExpectedWork;
};

/** What the placement counted on, for the journal. */
export type ExpectedWork = {
  /** Work ahead of the request. */
  waitMs: number;
  /** Tokens of its prompt that were not expected to be there; fetches count for a share. */
  tokensToRead: number;
};

/** `cold`: only upstreams are left that bear no more at the moment. */
export type PlacementRefusal = 'unknown-service' | 'none-usable' | 'cold' | 'full';

export type RequestTimer = 'deadline' | 'idle' | 'place';

/** To the task of one request. */
export type RequestMessage =
  | taskLifecycle.LifecycleMessage
  | { type: 'fleet.placed'; destination: Destination }
  | { type: 'fleet.not-placed'; reason: PlacementRefusal }
  | { type: 'fleet.liveness-checked'; attempt: string; isSilent: boolean }
  | { type: 'retry-budget.decided'; isGranted: boolean }
  | { type: 'attempt.head-received'; attempt: string; head: request.ResponseHead }
  | {
      type: 'attempt.events-received';
      attempt: string;
      bytes: Buffer;
      lastEventId: string | undefined;
    }
  | { type: 'attempt.ended'; attempt: string; end: attemptResult.Result }
  | { type: 'caller.disconnected' }
  | { type: 'request.timer-fired'; timer: RequestTimer };

export type RequestAddress = task.Address<RequestMessage>;

/** To the task that decides on access and spawns the tasks of requests. */
export type GatewayMessage =
  | taskLifecycle.LifecycleMessage
  | {
      type: 'gateway.begin-request';
      request: request.Request;
      caller: ReplyAddress;
      /** Told where the request's task is reached, unless the request was refused at once. */
      onBegun: (begun: RequestAddress) => void;
    }
  | { type: 'gateway.table-read'; table: routes.RoutingTable; askedAt: task.Instant }
  | { type: 'gateway.table-confirmed'; askedAt: task.Instant }
  | { type: 'gateway.members-changed'; instances: number }
  /** The list of upstreams has been read for the first time. */
  | { type: 'gateway.upstreams-known' }
  | { type: 'gateway.ask-retry-budget'; service: string; replyTo: RequestAddress }
  | { type: 'gateway.tick' };

/** What the front needs to know beside single requests. */
export type FrontEndMessage =
  | taskLifecycle.LifecycleMessage
  | { type: 'front.limits-changed'; limits: routes.Limits }
  | { type: 'front.readiness-changed'; isReady: boolean; reason: string }
  | { type: 'front.drain-timer-fired'; step: 'close-idle' | 'give-up' };

/** What an attempt needs beside the request itself. */
export type AttemptRequest = {
  attempt: string;
  request: request.Request;
  destination: Destination;
  clientAccount: string | undefined;
  priority: number;
  delivery: routes.ResponseMode;
  /** Whether a second send could do no harm. */
  mayRepeat: boolean;
  /** Of the monotonic clock: the upstream stops work then. */
  deadlineAtMs: number;
  lastEventId: string | undefined;
  replyTo: RequestAddress;
};

/** `health`: whether it takes work, which uses one of its slots. `life`: whether it answers at all. */
export type Probe =
  | { kind: 'health'; upstream: string; address: string; path: string }
  | { kind: 'liveness'; upstream: string; address: string };

/** To the task that owns the connections to upstreams. */
export type TransportMessage =
  | taskLifecycle.LifecycleMessage
  | { type: 'transport.send'; request: AttemptRequest }
  | { type: 'transport.abort'; attempt: string }
  | { type: 'transport.limits-changed'; connectionsPerUpstream: Readonly<Record<string, number>> }
  | { type: 'transport.probe'; probe: Probe };
