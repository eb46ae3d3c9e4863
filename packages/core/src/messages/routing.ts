/** Messages to and from the routing task, which places requests and keeps the cache directory. */
import type * as naming from '../kept-context/naming.js';
import type * as safeRead from '../kept-context/safe-read.js';
import type * as task from '../kernel/task.js';
import type * as results from '../results/index.js';
import type * as coldStarts from './cold-starts.js';
import type * as configuration from './configuration.js';
import type * as life from './life.js';
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
  /** Monotonic time after which it must not be sent any more: the right to send has lapsed. */
  sendBeforeMs?: number;
  /** Once an import has taken this long, recomputing is better; absent without an import. */
  lateAfterMs?: number;
};

/** One candidate and its cost, for the journal. */
export type Candidate = { upstream: string; expectedFirstTokenMs: number };

export type Plan =
  | { kind: 'placed'; placement: Placement; candidates: readonly Candidate[] }
  | { kind: 'refused'; failure: results.Failure; retryAfterMs: number };

export type PlanMade = { type: 'plan.made'; requestId: string; plan: Plan };

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
export type Outcome =
  | { kind: 'completed'; reusedTokens: number; importedTokens: number; firstTokenMs: number }
  | { kind: 'failed'; reach: upstreams.Reach }
  | { kind: 'cancelled' };

export type RoutingMessage =
  | life.TaskMessage
  | configuration.ConfigurationAdopted
  | configuration.ConfigurationConfidence
  | membership.MembershipChanged
  | peers.DigestReceived
  | coldStarts.ColdRightChanged
  | upstreams.EngineReported
  | stores.StoreReported
  | upstreams.ExportReport
  | upstreams.ImportReport
  /** Asks for an import, which begins when the store's link has room for it. */
  | {
      type: 'routing.import';
      order: upstreams.ImportOrder;
      replyTo: task.Address<upstreams.ImportReport>;
    }
  /** An import may have become late. */
  | { type: 'routing.wake-links' }
  | { type: 'routing.plan-prompt'; outline: PromptOutline; replyTo: task.Address<PlanMade> }
  | {
      type: 'routing.plan-call';
      requestId: string;
      service: string;
      excluded: readonly string[];
      replyTo: task.Address<PlanMade>;
    }
  | { type: 'routing.finished'; requestId: string; upstream: string; outcome: Outcome }
  | { type: 'routing.tick' };
