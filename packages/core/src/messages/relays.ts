/** Messages to and from the task that sends requests through other instances. */
import type * as attemptResult from '../gateway/attempt-result.js';
import type * as request from '../gateway/request.js';
import type * as routes from '../gateway/routes.js';
import type * as task from '../kernel/task.js';
import type * as peerUpdates from './peer-updates.js';
import type * as taskLifecycle from './task-lifecycle.js';

/** A request that goes through another instance. */
export type RelayRequest = {
  /** Unique in this process, unlike the id that the caller chose. */
  relay: string;
  request: request.Request;
  delivery: routes.ResponseMode;
  /** Monotonic time by which the request must be answered. */
  deadlineAtMs: number;
  replyTo: task.Address<RelayReply>;
};

/** How a relayed request ended. */
export type RelayEnd =
  /** The peer's answer, also its own refusal, is whole; of a stream, the events have been passed on. */
  | { kind: 'answered'; head: request.ResponseHead; body: Buffer }
  /** No peer took the request: it has not run. */
  | { kind: 'not-run'; detail: string }
  /** It was sent, and no whole answer came: it may have run. */
  | { kind: 'broken'; detail: string };

/** Replies to the task of the request. */
export type RelayReply =
  | { type: 'relay.sent'; peer: string }
  | { type: 'relay.head'; head: request.ResponseHead }
  | { type: 'relay.events'; bytes: Buffer; lastEventId: string | undefined }
  | { type: 'relay.ended'; end: RelayEnd };

export type RelaysMessage =
  | taskLifecycle.LifecycleMessage
  | { type: 'relays.members-changed'; members: readonly peerUpdates.PeerEndpoint[] }
  | { type: 'relays.send'; relayRequest: RelayRequest }
  | { type: 'relays.abort'; relay: string }
  /** The head of the answer or a part of it has arrived. */
  | { type: 'relays.peer-answered'; relay: string }
  | { type: 'relays.ended'; relay: string; result: attemptResult.Result };
