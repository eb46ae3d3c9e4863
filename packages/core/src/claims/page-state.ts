/** What an instance knows of pages, and what is under way for them. */
import type * as task from '../kernel/task.js';
import type * as command from './command.js';
import type * as peerMessages from './peer-messages.js';
import * as keys from './keys.js';
import * as page from './page.js';

/** One operation on its way into a page. */
export type PendingOperation = {
  place: keys.Location;
  overflowDepth: number;
  operation: page.Operation;
  requester: { kind: 'own' } | { kind: 'peer'; name: string };
  arrivedAtMs: number;
  /** Writes even if nothing changes, so that no earlier write in doubt can take effect later. */
  isFence: boolean;
};

export type Completion = { item: PendingOperation; result: peerMessages.Result };

type ApplyResult = ReturnType<typeof page.applyAll>;
export type Batch = {
  items: readonly PendingOperation[];
  writeId: string;
  /** The page was read since the batch began. */
  isReadFresh: boolean;
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
  /** Names the call under way; the answer to an earlier one is late and changes nothing. */
  correlationId: string;
};

export type Batches = {
  incarnation: string;
  nextId: number;
  isSuspended: boolean;
  retentionMs: number;
  pages: Map<string, PageState>;
};
/** The state, and what this moment adds to it. */
export type BatchContext = {
  batches: Batches;
  /** Judges before each try whether an operation is still wanted. */
  isStillNeeded(item: PendingOperation): boolean;
  now: task.Instant;
};
/** `hasFailed`: the platform did not answer twice in a row. */
export type BatchResult = {
  commands: readonly command.Command[];
  completions: readonly Completion[];
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

/** The page, marked as the one used last. */
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
