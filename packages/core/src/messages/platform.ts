/** Messages to and from the task that calls the platform's API. */
import type * as task from '../kernel/task.js';
import type * as results from '../results/index.js';
import type * as readers from './readers.js';
import type * as taskLifecycle from './task-lifecycle.js';

/** One versioned object of the platform. */
export type StoredObject = {
  key: string;
  /** Increases with each write of the object; 0 means that the object does not exist. */
  version: number;
  value: unknown;
  /** Chosen by the writer of this version, so that it can recognise its own write. */
  writeId: string;
  /** What the system writes beside the value; absent if there is none. */
  status?: unknown;
};

/** One entry of the platform's list of instances, which lags. */
export type ListedInstance = {
  name: string;
  dataCentre: string;
  /** HOST:PORT at which peers connect. */
  peers: string;
  state: 'live' | 'leaving';
};

/**
 * `isFromCopy`: the platform's store came back from an old copy a moment ago. What it has may be old, and
 * what it lacks may have been there.
 */
export type PlatformAnswer =
  | { kind: 'object'; object: StoredObject; isFromCopy?: boolean }
  | { kind: 'missing'; isFromCopy?: boolean }
  | { kind: 'written'; version: number }
  | { kind: 'conflict'; current: StoredObject | undefined }
  /** No answer: a write may have taken effect or not. */
  | { kind: 'unavailable'; failure: results.Failure };

export type PlatformAnswered = {
  type: 'platform.answered';
  correlationId: string;
  answer: PlatformAnswer;
};

/** All objects of one kind, at one moment. */
export type PlatformListed = {
  type: 'platform.listed';
  result:
    | { kind: 'objects'; objects: readonly StoredObject[] }
    | { kind: 'unavailable'; failure: results.Failure };
};

/** One answer to a watch. Empty `objects` confirm that nothing has changed. */
export type PlatformWatchUpdated = {
  type: 'platform.watch-updated';
  prefix: string;
  objects: readonly StoredObject[];
  /** Keys of objects that no longer exist. */
  removed: readonly string[];
  /** Whether `objects` is the complete set rather than the changes. */
  isSnapshot: boolean;
  /** Whether the store came back from an old copy since the update before; see `PlatformAnswer`. */
  isFromCopy?: boolean;
  /** The answer is at least as recent as this: mostly the time at which the request was sent. */
  askedAt: task.Instant;
  /**
   * The newest moment at which the store is known not to have had these changes. They may have been made
   * at any time since, however late this instance hears of them.
   */
  unchangedAt: task.Instant;
};

/**
 * A watch request failed. `isOutage`: the platform was away, rather than the one call cut off; entries may
 * have expired meanwhile whose writers live.
 */
export type PlatformWatchFailed = {
  type: 'platform.watch-failed';
  prefix: string;
  reason: string;
  isOutage: boolean;
};

export type WatchPacing = {
  /** How long the platform may hold a watch request. */
  waitMs: number;
  /** The pause after an update. */
  pauseMs: number;
  /** Age at which an instance no longer waits for its reader and asks the platform itself, in ms. */
  limitMs?: number;
  /** Least time between two calls that catch up with the reader. */
  catchUpPauseMs?: number;
  /** Whether changes are small and public enough to be passed on to other instances. */
  relaysContent?: boolean;
  /** The field that each write of an object changes, also one that only shows that its writer lives. */
  heartbeatField?: string;
};

export type PlatformInstancesChanged = {
  type: 'platform.instances-changed';
  instances: readonly ListedInstance[];
};

export type PlatformReply = PlatformAnswered | PlatformWatchUpdated;

export type PlatformMessage =
  | taskLifecycle.LifecycleMessage
  | {
      type: 'platform.read';
      correlationId: string;
      key: string;
      replyTo: task.Address<PlatformAnswered>;
    }
  | {
      type: 'platform.list';
      kind: string;
      /** For each call, if it is shorter than the usual one. */
      timeoutMs?: number | undefined;
      replyTo: task.Address<PlatformListed>;
    }
  /** A conditional update: it takes effect only if the object is at `expectedVersion`. */
  | {
      type: 'platform.write';
      correlationId: string;
      key: string;
      expectedVersion: number;
      value: unknown;
      writeId: string;
      replyTo: task.Address<PlatformAnswered>;
    }
  /** Replaces the object's status only, if the object is at `expectedVersion`. */
  | {
      type: 'platform.write-status';
      correlationId: string;
      key: string;
      expectedVersion: number;
      status: unknown;
      replyTo: task.Address<PlatformAnswered>;
    }
  | {
      type: 'platform.watch';
      prefix: string;
      pace?: WatchPacing;
      replyTo: task.Address<PlatformWatchUpdated>;
      /** Receives failures of the watch; absent if the watcher does not need them. */
      failuresTo?: task.Address<PlatformWatchFailed>;
    }
  /** Whether another instance reads the platform for this one; watches then wait for what it tells. */
  | { type: 'platform.set-relayed'; isRelayed: boolean }
  | { type: 'platform.relayed-positions'; positions: readonly readers.WatchPosition[] }
  | { type: 'platform.relayed-changes'; changes: readers.WatchChanges }
  /** Ends the watch of this prefix for this watcher. */
  | { type: 'platform.unwatch'; prefix: string; replyTo: task.Address<PlatformWatchUpdated> }
  /** Watches the list of instances. Sent again, it only changes the pause after each answer. */
  | {
      type: 'platform.watch-instances';
      intervalMs: number;
      replyTo: task.Address<PlatformInstancesChanged>;
    };
