/** A caller's request as the front end decoded it, and the replies that the front end receives. */
import type * as task from '../kernel/task.js';

/** One part of a prompt. Parts with the same id have the same tokens. */
export type PromptPart = { id: string; tokens: number };

export type Prompt = {
  model: string;
  /** In order. The last part is unique to this request. */
  parts: readonly PromptPart[];
};

/** End-to-end headers as received, names and values alternating. */
export type RawHeaders = readonly string[];

export type Request = {
  /** Chosen by the caller, new for each attempt. */
  requestId: string;
  method: string;
  /** Includes the query, byte for byte as received. */
  path: string;
  host: string;
  headers: RawHeaders;
  body: Buffer;
  credential: string | undefined;
  /** The caller's timeout, counted from `receivedAt`. */
  callerTimeoutMs: number | undefined;
  prompt: Prompt | undefined;
  /** Id of the last event that the caller received: a broken stream goes on after it. */
  lastEventId: string | undefined;
  /** The attempt of the caller that brought the first event of the stream that is resumed. */
  streamBegunBy: string | undefined;
  /** The instance that sent the request on, since it reaches no upstream. */
  relayedBy: string | undefined;
  receivedAt: task.Instant;
};

export type ResponseHead = {
  status: number;
  headers: RawHeaders;
  /**
   * Whether the upstream's framing states where the body ends. If not, the body ends with the
   * connection, and the end alone does not show that the upstream survived it.
   */
  isFramed: boolean;
};

/**
 * Reply to the front end about a request. `reply.complete`, `reply.end`, `reply.abort` and
 * `reply.refuse` are final.
 */
export type Reply =
  /** A complete response. */
  | { type: 'reply.complete'; head: ResponseHead; body: Buffer }
  | { type: 'reply.head'; head: ResponseHead }
  | { type: 'reply.events'; bytes: Buffer }
  | { type: 'reply.end' }
  /** The response broke off: the connection is closed so that it cannot be taken for complete. */
  | { type: 'reply.abort' }
  /** An error response by the gateway itself. */
  | { type: 'reply.refuse'; status: number; detail: string; retryAfterMs: number | undefined };
