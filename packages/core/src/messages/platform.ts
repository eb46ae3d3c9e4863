/** Messages to and from the task that talks with the platform's service. */
import type * as task from '../kernel/task.js';
import type * as results from '../results/index.js';
import type * as taskLifecycle from './task-lifecycle.js';

/** One versioned object of the platform. */
export type StoredObject = {
  key: string;
  /** Grows with each write of the object; 0 stands for "does not exist". */
  version: number;
  value: unknown;
  /** Chosen by the writer of this version, so that it can recognise its own write. */
  writeId: string;
};

/** One line of the platform's lagging list. */
export type ListedInstance = {
  name: string;
  dataCentre: string;
  /** HOST:PORT at which peers connect. */
  peers: string;
  state: 'live' | 'leaving';
};

export type PlatformAnswer =
  | { kind: 'object'; object: StoredObject }
  | { kind: 'missing' }
  | { kind: 'written'; version: number }
  | { kind: 'conflict'; current: StoredObject | undefined }
  /** No answer: a write may or may not have taken effect. */
  | { kind: 'unavailable'; failure: results.Failure };

export type PlatformAnswered = {
  type: 'platform.answered';
  correlationId: string;
  answer: PlatformAnswer;
};

/** News of a watch. Empty `objects` mean: confirmed, nothing has changed. */
export type PlatformWatchUpdated = {
  type: 'platform.watch-updated';
  prefix: string;
  objects: readonly StoredObject[];
  /** Keys of objects that do not exist any more. */
  removed: readonly string[];
  /** Whether `objects` are all there are. */
  isSnapshot: boolean;
  /** When the question was sent: the news is at least as new as that. */
  askedAt: task.Instant;
};

/** A watch could not be answered. */
export type PlatformWatchFailed = { type: 'platform.watch-failed'; prefix: string; reason: string };

/** How a watch is asked: how long the platform may hold it, and the pause after news. */
export type WatchPacing = { waitMs: number; pauseMs: number };

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
  /** A conditional update: takes effect only on `expectedVersion`. */
  | {
      type: 'platform.write';
      correlationId: string;
      key: string;
      expectedVersion: number;
      value: unknown;
      writeId: string;
      replyTo: task.Address<PlatformAnswered>;
    }
  | {
      type: 'platform.watch';
      prefix: string;
      pace?: WatchPacing;
      replyTo: task.Address<PlatformWatchUpdated>;
      /** Told of failures, if the reader has to know. */
      failuresTo?: task.Address<PlatformWatchFailed>;
    }
  /** Ends the watch of this prefix for this reader. */
  | { type: 'platform.unwatch'; prefix: string; replyTo: task.Address<PlatformWatchUpdated> }
  /** Sent again, it only changes the pause after each answer. */
  | {
      type: 'platform.watch-instances';
      intervalMs: number;
      replyTo: task.Address<PlatformInstancesChanged>;
    };
