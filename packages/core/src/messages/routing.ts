/**
 * Messages to and from the routing task, which places requests and maintains the cache directory.
 */
import type * as naming from '../kept-context/naming.js';
import type * as safeRead from '../kept-context/safe-read.js';
import type * as task from '../kernel/task.js';
import type * as results from '../results/index.js';
import type * as coldStarts from './cold-starts.js';
import type * as configuration from './configuration.js';
import type * as taskLifecycle from './task-lifecycle.js';
import type * as membership from './membership.js';
import type * as peers from './peers.js';
import type * as stores from './stores.js';
import type * as upstreams from './upstreams.js';

/** The upstream chosen for a prompt, and how the prompt's context gets there. */
export type Placement = {
  upstream: string;
  /** Number of leading pieces that are expected in the engine's memory. */
  reusePieces: number;
  /** Committed pieces to import after those, all from one store. */
  imports: readonly safeRead.Manifest[];
  /** HOST:PORT of that store, or empty without an import. */
  storeAddress: string;
  expectedFirstTokenMs: number;
  /** After this long, recomputing is faster than the import; absent without an import. */
  importTimeoutMs?: number;
  /** Monotonic time after which the prompt must not be sent: the right to send has expired. */
  sendBeforeMs?: number;
};

/** A candidate and its expected time to first token, for the journal. */
export type Candidate = { upstream: string; expectedFirstTokenMs: number };

export type PlacementDecision =
  | { kind: 'placed'; placement: Placement; candidates: readonly Candidate[] }
  | { kind: 'refused'; failure: results.Failure; retryAfterMs: number };

export type PlacementDecided = {
  type: 'placement.decided';
  requestId: string;
  decision: PlacementDecision;
};

/** The properties of a prompt that its placement depends on. */
export type PromptOutline = {
  requestId: string;
  clientAccount: string;
  service: string;
  weightVersion: string;
  pieces: readonly naming.PieceName[];
  promptTokens: number;
  maxTokens: number;
  /** Upstreams that have already failed this request. */
  excluded: readonly string[];
};

/** The outcome of a placed request. The engine's reported counts correct the cache directory. */
export type PlacementOutcome =
  | { kind: 'completed'; reusedTokens: number; importedTokens: number; firstTokenMs: number }
  | { kind: 'failed'; progress: upstreams.SendProgress }
  | { kind: 'cancelled' };

export type RoutingMessage =
  | taskLifecycle.LifecycleMessage
  | configuration.ConfigurationAdopted
  | configuration.ConfirmationStatusChanged
  | membership.MembershipChanged
  | peers.DigestReceived
  | coldStarts.ColdStartRightChanged
  | upstreams.EngineReported
  | stores.StoreReported
  | upstreams.ExportReport
  | upstreams.ImportReport
  /** Requests an import, which starts when the store's link has capacity for it. */
  | {
      type: 'routing.request-import';
      order: upstreams.ImportOrder;
      replyTo: task.Address<upstreams.ImportReport>;
    }
  /** Checks for imports that have exceeded their timeout. */
  | { type: 'routing.check-imports' }
  | {
      type: 'routing.place-prompt';
      outline: PromptOutline;
      replyTo: task.Address<PlacementDecided>;
    }
  | {
      type: 'routing.place-call';
      requestId: string;
      service: string;
      excluded: readonly string[];
      replyTo: task.Address<PlacementDecided>;
    }
  | {
      type: 'routing.request-finished';
      requestId: string;
      upstream: string;
      outcome: PlacementOutcome;
    }
  | { type: 'routing.tick' };
