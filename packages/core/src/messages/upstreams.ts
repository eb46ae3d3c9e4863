/** Messages to and from the task that talks with upstreams: model engines and plain services. */
import type * as schema from '../configuration/schema.js';
import type * as naming from '../kept-context/naming.js';
import type * as safeRead from '../kept-context/safe-read.js';
import type * as task from '../kernel/task.js';
import type * as results from '../results/index.js';
import type * as configuration from './configuration.js';
import type * as taskLifecycle from './task-lifecycle.js';

/** How far a request came on the wire before it broke off. */
export type SendProgress =
  /** No connection was made: no byte can have reached the upstream. */
  | { kind: 'not-connected' }
  /** A connection was made, and some bytes may have been sent. */
  | { kind: 'sending' }
  /** All of the request was sent; nothing came back. */
  | { kind: 'sent' }
  /** The answer had begun. */
  | { kind: 'responding' }
  /** The upstream answered that it did not run the request. */
  | { kind: 'vouched-not-run' };

/** One prompt for one engine. */
export type RunOrder = {
  runId: string;
  upstream: string;
  model: string;
  adapter: string;
  weightVersion: string;
  prompt: string;
  pieces: readonly naming.PieceName[];
  /** Pieces of a finished import whose reads were judged safe; the engine may use no others of it. */
  adopted: readonly naming.PieceName[];
  maxTokens: number;
  priority: schema.Priority;
  /** Tokens that the caller already has; the stream starts behind them. */
  offset: number;
  /** The text of those tokens, so that any replica can go on from them. */
  answered: string;
  /** Monotonic time after which it must not be sent any more. */
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
  /** Whose share of the link it takes, and how urgently. */
  clientAccount?: string;
  priority?: schema.Priority;
  /** Once it has taken this long, recomputing is better. */
  importTimeoutMs?: number;
};

export type ImportReport =
  | { type: 'import.finished'; runId: string; seen: readonly safeRead.Observation[] }
  | { type: 'import.failed'; runId: string; failure: results.Failure };

/** Copies pieces from an engine's memory to a store, where they are committed. */
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
  /** `new`: no byte travels on a connection that may have died unnoticed. */
  connection: 'new' | 'pooled';
};

/** A whole answer of a plain service. */
export type PlainResponse = {
  status: number;
  headers: Readonly<Record<string, string>>;
  body: Uint8Array;
};

export type CallReport =
  | { type: 'call.answered'; requestId: string; answer: PlainResponse }
  | { type: 'call.failed'; requestId: string; progress: SendProgress; failure: results.Failure };

/** An order to an upstream, under a fencing number. */
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
  /** No answer: it may yet take effect. */
  | { type: 'order.failed'; orderId: string; failure: results.Failure };

/** What an engine publishes, late and with gaps. */
export type EngineReport =
  | { kind: 'piece-cached'; sequence: number; piece: naming.PieceName }
  | { kind: 'piece-evicted'; sequence: number; piece: naming.PieceName }
  /** All pieces in memory: sent when a reader asks after a gap. */
  | { kind: 'snapshot'; sequence: number; pieces: readonly naming.PieceName[] }
  | {
      kind: 'load';
      running: number;
      waiting: number;
      temperature: Temperature;
      weightVersion: string;
    }
  /** The stream of reports broke off. */
  | { kind: 'silent' };

/** `cold`: just started; it bears `coldSlots` until it reports `warm`. */
export type Temperature = 'cold' | 'warm';

/** Sent to the routing task. */
export type EngineReported = { type: 'engine.reported'; upstream: string; report: EngineReport };

export type UpstreamsMessage =
  | taskLifecycle.LifecycleMessage
  | configuration.ConfigurationAdopted
  | { type: 'upstreams.run'; order: RunOrder; replyTo: task.Address<RunReport> }
  /** Continues a run that the engine still knows, from an offset, on a new connection. */
  | {
      type: 'upstreams.resume';
      runId: string;
      upstream: string;
      offset: number;
      replyTo: task.Address<RunReport>;
    }
  | { type: 'upstreams.cancel'; runId: string; upstream: string }
  /** Stops reading a run's stream, or goes on with it. */
  | { type: 'upstreams.flow-control'; runId: string; flow: 'open' | 'paused' }
  /** Replaces the pooled connections to an upstream: one of them went silent. */
  | { type: 'upstreams.replace-connections'; upstream: string }
  /** Breaks an import off; no report of it follows. */
  | { type: 'upstreams.cancel-import'; runId: string; upstream: string }
  | { type: 'upstreams.import'; order: ImportOrder; replyTo: task.Address<ImportReport> }
  | { type: 'upstreams.export'; order: ExportOrder; replyTo: task.Address<ExportReport> }
  | { type: 'upstreams.call'; call: PlainCall; replyTo: task.Address<CallReport> }
  | { type: 'upstreams.order'; order: UpstreamOrder; replyTo: task.Address<OrderReport> }
  /** Asks the engine for a snapshot of its pieces after a gap. */
  | { type: 'upstreams.request-snapshot'; upstream: string };
