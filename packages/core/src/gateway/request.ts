/** A caller's request, as the front decoded it, and what it may be told. */
import type * as task from '../kernel/task.js';

/** One part of a prompt; parts with the same id hold the same tokens. */
export type PromptPart = { id: string; tokens: number };

export type Prompt = {
  model: string;
  /** In order; the last part belongs to this request alone. */
  parts: readonly PromptPart[];
};

/** End-to-end headers as they came, names and values in turn. */
export type RawHeaders = readonly string[];

export type Request = {
  /** Chosen by the caller, new for each attempt. */
  requestId: string;
  method: string;
  /** With the query, byte for byte. */
  path: string;
  host: string;
  headers: RawHeaders;
  body: Buffer;
  credential: string | undefined;
  /** How long the caller waits, counted from `receivedAt`. */
  callerTimeoutMs: number | undefined;
  prompt: Prompt | undefined;
  /** Where a broken stream is to go on. */
  lastEventId: string | undefined;
  receivedAt: task.Instant;
};

/** The head of an answer. */
export type ResponseHead = {
  status: number;
  headers: RawHeaders;
  /**
   * Whether the upstream said where the body ends. If not, it ends with the connection, nobody can
   * tell whether it is whole, and the caller must not be told that it is.
   */
  isFramed: boolean;
};

/** What the front is told about a request; `reply.refuse` and `reply.cut` end it, as does `end`. */
export type Reply =
  /** A whole answer. */
  | { type: 'reply.complete'; head: ResponseHead; body: Buffer }
  | { type: 'reply.head'; head: ResponseHead }
  | { type: 'reply.events'; bytes: Buffer }
  | { type: 'reply.end' }
  /** The answer broke off: the connection is closed so that it cannot look whole. */
  | { type: 'reply.abort' }
  /** An answer of the system's own. */
  | { type: 'reply.refuse'; status: number; detail: string; retryAfterMs: number | undefined };
