/** Messages to and from the task that talks to upstreams: model engines and plain services. */
import type * as schema from '../configuration/schema.js';
import type * as naming from '../kept-context/naming.js';
import type * as safeRead from '../kept-context/safe-read.js';
import type * as task from '../kernel/task.js';
import type * as results from '../results/index.js';
import type * as configuration from './configuration.js';
import type * as taskLifecycle from './task-lifecycle.js';

/** How far sending a request got before it failed. */
export type SendProgress =
  /** No connection was made: no byte can have reached the upstream. */
  | { kind: 'not-connected' }
  /** A connection was made, and some bytes may have been sent. */
  | { kind: 'sending' }
  /** The whole request was sent; no byte of an answer arrived. */
  | { kind: 'sent' }
  /** Part of the answer arrived. */
  | { kind: 'responding' }
  /** The upstream answered, and guarantees that it did not run the request. */
  | { kind: 'vouched-not-run' };

/** One prompt to run on one engine. */
export type RunOrder = {
  runId: string;
  upstream: string;
  model: string;
  adapter: string;
  weightVersion: string;
  prompt: string;
  pieces: readonly naming.PieceName[];
  /**
   * Pieces of a finished import that passed the safe read checks; the engine may use no others of
   * it.
   */
  adopted: readonly naming.PieceName[];
  maxTokens: number;
  priority: schema.Priority;
  /** Number of tokens that the caller already has; the stream starts after them. */
  offset: number;
  /** The text of those tokens, so that any replica can continue from them. */
  answered: string;
  /** Monotonic time after which the prompt must not be sent. */
  sendBeforeMs?: number;
};

export type RunReport =
  | {
      type: 'run.started';
      runId: string;
      promptTokens: number;
      reusedTokens: number;
      importedTokens: number;
    }
  | { type: 'run.token'; runId: string; offset: number; text: string }
  | { type: 'run.ended'; runId: string; finish: Finish; tokens: number }
  | { type: 'run.failed'; runId: string; progress: SendProgress; failure: results.Failure };

export type Finish = 'stop' | 'length' | 'cancelled';

/** Moves committed pieces from a store into an engine's staging memory. */
export type ImportOrder = {
  runId: string;
  upstream: string;
  storeAddress: string;
  manifests: readonly safeRead.Manifest[];
  /** The client account whose share of the link it uses, and its priority. */
  clientAccount?: string;
  priority?: schema.Priority;
  /** After this long, recomputing is faster than the import. */
  importTimeoutMs?: number;
};

export type ImportReport =
  | { type: 'import.finished'; runId: string; seen: readonly safeRead.Observation[] }
  | { type: 'import.failed'; runId: string; failure: results.Failure };

/** Copies pieces from an engine's memory to a store, which commits them. */
export type ExportOrder = {
  exportId: string;
  upstream: string;
  store: string;
  storeAddress: string;
  pieces: readonly naming.PieceName[];
  tier: safeRead.Tier;
};

export type ExportReport =
  | { type: 'export.finished'; exportId: string; pieces: readonly naming.PieceName[] }
  | { type: 'export.failed'; exportId: string; failure: results.Failure };

/** One request for a plain service. */
export type PlainCall = {
  requestId: string;
  upstream: string;
  method: string;
  path: string;
  headers: Readonly<Record<string, string>>;
  body: Uint8Array;
  timeoutMs: number;
  /** `new` avoids a pooled connection that may have failed undetected. */
  connection: 'new' | 'pooled';
};

/** A complete answer of a plain service. */
export type PlainResponse = {
  status: number;
  headers: Readonly<Record<string, string>>;
  body: Uint8Array;
};

export type CallReport =
  | { type: 'call.answered'; requestId: string; answer: PlainResponse }
  | { type: 'call.failed'; requestId: string; progress: SendProgress; failure: results.Failure };

/** An order to an upstream, sent with a fencing token. */
export type UpstreamOrder = {
  orderId: string;
  upstream: string;
  fencing: number;
  action:
    | { kind: 'load-version'; model: string; weightVersion: string }
    | { kind: 'load-adapter'; adapter: string }
    | { kind: 'set-role'; role: 'prefill' | 'decode' | 'both' };
};

export type OrderReport =
  | { type: 'order.accepted'; orderId: string }
  | { type: 'order.refused'; orderId: string; reason: 'old-fencing' | 'unsupported' }
  /** No answer: the order may still take effect. */
  | { type: 'order.failed'; orderId: string; failure: results.Failure };

/** A report published by an engine. Reports may arrive late, and some may be missing. */
export type EngineReport =
  | { kind: 'piece-cached'; sequence: number; piece: naming.PieceName }
  | { kind: 'piece-evicted'; sequence: number; piece: naming.PieceName }
  /** All pieces in memory; sent on request after a gap. */
  | { kind: 'snapshot'; sequence: number; pieces: readonly naming.PieceName[] }
  | {
      kind: 'load';
      running: number;
      waiting: number;
      temperature: Temperature;
      weightVersion: string;
    }
  /** The stream of reports ended unexpectedly. */
  | { kind: 'silent' };

/** `cold`: just started, and limited to `coldSlots` until it reports `warm`. */
export type Temperature = 'cold' | 'warm';

/** Sent to the routing task. */
export type EngineReported = { type: 'engine.reported'; upstream: string; report: EngineReport };

export type UpstreamsMessage =
  | taskLifecycle.LifecycleMessage
  | configuration.ConfigurationAdopted
  | { type: 'upstreams.run'; order: RunOrder; replyTo: task.Address<RunReport> }
  /** Continues a run that the engine still has, from an offset, on a new connection. */
  | {
      type: 'upstreams.resume';
      runId: string;
      upstream: string;
      offset: number;
      replyTo: task.Address<RunReport>;
    }
  | { type: 'upstreams.cancel'; runId: string; upstream: string }
  /** Pauses reading a run's stream, or goes on with it. */
  | { type: 'upstreams.flow-control'; runId: string; flow: 'open' | 'paused' }
  /** Replaces the pooled connections to an upstream after one of them went silent. */
  | { type: 'upstreams.replace-connections'; upstream: string }
  /** Cancels an import; no report follows. */
  | { type: 'upstreams.cancel-import'; runId: string; upstream: string }
  | { type: 'upstreams.import'; order: ImportOrder; replyTo: task.Address<ImportReport> }
  | { type: 'upstreams.export'; order: ExportOrder; replyTo: task.Address<ExportReport> }
  | { type: 'upstreams.call'; call: PlainCall; replyTo: task.Address<CallReport> }
  | { type: 'upstreams.order'; order: UpstreamOrder; replyTo: task.Address<OrderReport> }
  /** Asks the engine for a snapshot of its pieces after a gap. */
  | { type: 'upstreams.request-snapshot'; upstream: string };
