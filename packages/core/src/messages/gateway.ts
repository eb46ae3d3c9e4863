/**
 * Messages between the front end, the gateway, the task of one request, and the upstream transport.
 */
import type * as attemptResult from '../gateway/attempt-result.js';
import type * as request from '../gateway/request.js';
import type * as routes from '../gateway/routes.js';
import type * as task from '../kernel/task.js';
import type * as priority from '../prompt-mix/priority.js';
import type * as context from '../shared-context/plan.js';
import type * as relays from './relays.js';
import type * as streamOrigins from './stream-origins.js';
import type * as taskLifecycle from './task-lifecycle.js';

export type ReplyAddress = task.Address<request.Reply>;

/** The upstream that an attempt is sent to, and the kept context that the attempt names there. */
export type Destination = {
  upstream: string;
  address: string;
  service: string;
  /** Of the upstream. */
  softwareVersion: string;
  context: context.ContextPlan | undefined;
  expected: ExpectedWork;
  /**
   * The last moment at which a prompt may begin there, since the weights may be replaced by then;
   * undefined for a plain request.
   */
  beginBy: task.Instant | undefined;
  /** Where the prompt stands among those of its rank; by rank alone if undefined. */
  turn?: priority.Turn;
};

/** The estimates that the placement was based on, for the journal. */
export type ExpectedWork = {
  /** Estimated wait for the work queued ahead of the request. */
  waitMs: number;
  /**
   * Prompt tokens expected to miss the upstream's cache; those fetched from a store count in part.
   */
  tokensToRead: number;
  /** Weight version that the upstream is believed to have; 0 if unknown, or for a plain request. */
  weightVersion: number;
  /** Time since those weights were replaced; undefined if they are the newest. */
  replacedForMs: number | undefined;
  /** Predicted time from the sending to the first event, or to the answer of a plain request; if known. */
  firstEventMs?: number;
};

/**
 * `cold`, `limited`: the only candidates left are upstreams that are cold or name a limit, and are at
 * that rate; `paused`: or have turned a request away and want none yet. `quarantined`: a
 * part of the prompt crashes upstreams. `suspected`: one may, and the request may have run already.
 * `one-at-a-time`: one may, and another request with it is in flight. `software-version-gone`: the stream
 * began at a software version that no upstream has any more. `cut-off`: this instance itself has found that
 * it reaches no upstream at all, or none of the service; others may.
 */
export type PlacementRefusal =
  | 'unknown-service'
  | 'none-usable'
  | 'cut-off'
  | 'cold'
  | 'limited'
  | 'paused'
  | 'full'
  | 'quarantined'
  | 'suspected'
  | 'one-at-a-time'
  | 'software-version-gone'
  | 'cut-off';

export type RequestTimer = 'deadline' | 'idle' | 'place' | 'begin';

/** Messages to the task of one request. */
export type RequestMessage =
  | taskLifecycle.LifecycleMessage
  | { type: 'fleet.placed'; destination: Destination }
  | {
      type: 'fleet.not-placed';
      reason: PlacementRefusal;
      /** Expected time until an upstream can take the request, where that can be told. */
      freeInMs: number | undefined;
      /** The evidence against a part of the prompt. */
      detail?: string;
      /** When the caller is to return; the request is refused. Without it, the request decides. */
      retryAfterMs?: number;
    }
  /** The request waits for a place; an answer follows. */
  | { type: 'fleet.queued' }
  /** A part of the prompt was found to crash upstreams while the attempt had not begun. */
  | { type: 'fleet.attempt-withdrawn'; upstream: string; reason: string }
  | { type: 'fleet.liveness-checked'; attempt: string; isSilent: boolean }
  /** `beginBy` is undefined if the upstream has the newest weights, or is not known any more. */
  | { type: 'fleet.begin-checked'; attempt: string; beginBy: task.Instant | undefined }
  | { type: 'retry-budget.decided'; isGranted: boolean }
  | { type: 'attempt.head-received'; attempt: string; head: request.ResponseHead }
  | {
      type: 'attempt.events-received';
      attempt: string;
      bytes: Buffer;
      lastEventId: string | undefined;
    }
  | { type: 'attempt.ended'; attempt: string; end: attemptResult.Result }
  | streamOrigins.OriginFound
  | relays.RelayReply
  | { type: 'caller.disconnected' }
  | { type: 'request.timer-fired'; timer: RequestTimer };

export type RequestAddress = task.Address<RequestMessage>;

/** Messages to the gateway task, which checks access and spawns a task for each request. */
export type GatewayMessage =
  | taskLifecycle.LifecycleMessage
  | {
      type: 'gateway.begin-request';
      request: request.Request;
      caller: ReplyAddress;
      /**
       * Receives the address of the request's task; not called if the request is refused
       * immediately.
       */
      onBegun: (begun: RequestAddress) => void;
    }
  | { type: 'gateway.table-read'; table: routes.RoutingTable; askedAt: task.Instant }
  | { type: 'gateway.table-confirmed'; askedAt: task.Instant }
  /** The evacuations that the fleet task knows were all at that moment. */
  | { type: 'gateway.evacuations-confirmed'; askedAt: task.Instant }
  /** The weights that operators named have been listed for the first time. */
  | { type: 'gateway.weights-known' }
  | { type: 'gateway.members-changed'; instances: number }
  /** The list of upstreams has been read for the first time. */
  | { type: 'gateway.upstreams-known' }
  /** The list of quarantined parts has been read for the first time. */
  | { type: 'gateway.verdicts-known' }
  /** A request goes through another instance, which counts it. */
  | { type: 'gateway.request-relayed'; service: string }
  | { type: 'gateway.ask-retry-budget'; service: string; replyTo: RequestAddress }
  | { type: 'gateway.tick' };

export type FrontDrainStep = 'close-idle' | 'refuse-unread' | 'give-up';

/** Messages to the front end that do not belong to a single request. */
export type FrontEndMessage =
  | taskLifecycle.LifecycleMessage
  | { type: 'front.limits-changed'; limits: routes.Limits }
  | { type: 'front.readiness-changed'; isReady: boolean; reason: string }
  | { type: 'front.drain-timer-fired'; step: FrontDrainStep };

/** One attempt to send a request to an upstream. */
export type AttemptRequest = {
  attempt: string;
  request: request.Request;
  destination: Destination;
  clientAccount: string | undefined;
  priority: number;
  delivery: routes.ResponseMode;
  /** Whether the request is safe to send a second time. */
  mayRepeat: boolean;
  /** Monotonic time at which the upstream stops work on the request. */
  deadlineAtMs: number;
  lastEventId: string | undefined;
  replyTo: RequestAddress;
};

/**
 * `health` checks whether the upstream accepts work, which uses one of its slots; `liveness` checks
 * whether it answers at all; `connection` whether it takes connections, without a request.
 */
export type Probe =
  | { kind: 'health'; upstream: string; address: string; path: string }
  | { kind: 'liveness'; upstream: string; address: string }
  | { kind: 'connection'; upstream: string; address: string };

/** Messages to the task that owns the connections to upstreams. */
export type TransportMessage =
  | taskLifecycle.LifecycleMessage
  | { type: 'transport.send'; request: AttemptRequest }
  | { type: 'transport.abort'; attempt: string }
  | { type: 'transport.limits-changed'; connectionsPerUpstream: Readonly<Record<string, number>> }
  | { type: 'transport.probe'; probe: Probe };
