/** Messages to and from the routing task, which places requests and keeps the cache directory. */
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

/** Where a prompt goes and what happens with its context there. */
export type Placement = {
  upstream: string;
  /** Pieces from the first that are expected in the engine's memory. */
  reusePieces: number;
  /** Committed pieces to import behind those, all from one store. */
  imports: readonly safeRead.Manifest[];
  /** HOST:PORT of that store, or empty. */
  storeAddress: string;
  expectedFirstTokenMs: number;
  /** Once an import has taken this long, recomputing is better; absent without an import. */
  importTimeoutMs?: number;
  /** Monotonic time after which it must not be sent any more: the right to send has lapsed. */
  sendBeforeMs?: number;
};

/** One candidate and its cost, for the journal. */
export type Candidate = { upstream: string; expectedFirstTokenMs: number };

export type PlacementDecision =
  | { kind: 'placed'; placement: Placement; candidates: readonly Candidate[] }
  | { kind: 'refused'; failure: results.Failure; retryAfterMs: number };

export type PlacementDecided = {
  type: 'placement.decided';
  requestId: string;
  decision: PlacementDecision;
};

/** What is known of a prompt before it is placed. */
export type PromptOutline = {
  requestId: string;
  clientAccount: string;
  service: string;
  weightVersion: string;
  pieces: readonly naming.PieceName[];
  promptTokens: number;
  maxTokens: number;
  /** Upstreams that failed for this request already. */
  excluded: readonly string[];
};

/** What became of a placed request: the engine's own word corrects the directory. */
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
  /** Asks for an import, which begins when the store's link has room for it. */
  | {
      type: 'routing.request-import';
      order: upstreams.ImportOrder;
      replyTo: task.Address<upstreams.ImportReport>;
    }
  /** An import may have become late. */
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
