/** Cached pages of an instance, and their pending and in-flight operations. */
import type * as task from '../kernel/task.js';
import type * as command from './command.js';
import type * as peerMessages from './peer-messages.js';
import * as keys from './keys.js';
import * as page from './page.js';

/** An operation that waits to be written to a page. */
export type PendingOperation = {
  place: keys.Location;
  /** Number of full pages that were passed over; 0 for the page that the key belongs to first. */
  overflowDepth: number;
  operation: page.Operation;
  requester: { kind: 'own' } | { kind: 'peer'; name: string };
  /** When this instance received it, in monotonic time. */
  arrivedAtMs: number;
  /**
   * Forces a write even without a change: it increases the page's version, so that an earlier write
   * whose result is unknown can no longer take effect.
   */
  isFence: boolean;
};

export type Completion = { item: PendingOperation; result: peerMessages.Result };

type ApplyResult = ReturnType<typeof page.applyAll>;
export type Batch = {
  items: readonly PendingOperation[];
  /** Sent with the write, so that it is recognised if its response was lost. */
  writeId: string;
  /** Whether the page was read after the start of the batch. */
  isReadFresh: boolean;
  /** Calls in a row without a response; a read resets it. */
  failures: number;
  applyResult: ApplyResult | undefined;
};
export type PageState = {
  version: number;
  value: page.Page;
  isLoaded: boolean;
  pending: PendingOperation[];
  batch: Batch | undefined;
  lastWriteAtMs: number;
  /** Id of the call in flight. Late responses to earlier calls are ignored. */
  correlationId: string;
};

export type Batches = {
  incarnation: string;
  nextId: number;
  isSuspended: boolean;
  retentionMs: number;
  pages: Map<string, PageState>;
};
/** The cached pages and the inputs for one message. */
export type BatchContext = {
  batches: Batches;
  /** Whether the requester still waits for the operation; checked before each write. */
  isStillNeeded(item: PendingOperation): boolean;
  now: task.Instant;
};
export type BatchResult = {
  commands: readonly command.Command[];
  completions: readonly Completion[];
  /** Two calls of one batch in a row got no response from the platform. */
  isPlatformUnavailable: boolean;
};

export function initial(incarnation: string): Batches {
  return {
    incarnation,
    nextId: 1,
    isSuspended: false,
    retentionMs: keys.MAX_RETENTION_MS,
    pages: new Map(),
  };
}

/** Returns the cached page, or a new empty one, and marks it as most recently used. */
export function touchPage(batches: Batches, key: string): PageState {
  const found: PageState = batches.pages.get(key) ?? {
    version: 0,
    value: page.emptyPage(),
    isLoaded: false,
    pending: [],
    batch: undefined,
    lastWriteAtMs: -Infinity,
    correlationId: '',
  };
  batches.pages.delete(key);
  batches.pages.set(key, found);
  return found;
}
