/** Messages to and from the task that talks with the platform's service. */
import type * as task from '../kernel/task.js';
import type * as results from '../results/index.js';
import type * as life from './life.js';

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
  ticket: string;
  answer: PlatformAnswer;
};

/** News of a watch. Empty `objects` mean: confirmed, nothing has changed. */
export type PlatformChanged = {
  type: 'platform.changed';
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
export type PlatformAway = { type: 'platform.away'; prefix: string; reason: string };

/** How a watch is asked: how long the platform may hold it, and the pause after news. */
export type Pace = { waitMs: number; pauseMs: number };

export type PlatformInstances = {
  type: 'platform.instances-changed';
  instances: readonly ListedInstance[];
};

export type PlatformReply = PlatformAnswered | PlatformChanged;

export type PlatformMessage =
  | life.TaskMessage
  | {
      type: 'platform.read';
      ticket: string;
      key: string;
      replyTo: task.Address<PlatformAnswered>;
    }
  /** A conditional update: takes effect only on `expectedVersion`. */
  | {
      type: 'platform.write';
      ticket: string;
      key: string;
      expectedVersion: number;
      value: unknown;
      writeId: string;
      replyTo: task.Address<PlatformAnswered>;
    }
  | {
      type: 'platform.watch';
      prefix: string;
      pace?: Pace;
      replyTo: task.Address<PlatformChanged>;
      /** Told of failures, if the reader has to know. */
      awayTo?: task.Address<PlatformAway>;
    }
  /** Ends the watch of this prefix for this reader. */
  | { type: 'platform.unwatch'; prefix: string; replyTo: task.Address<PlatformChanged> }
  /** Sent again, it only changes the pause after each answer. */
  | { type: 'platform.watch-instances'; pauseMs: number; replyTo: task.Address<PlatformInstances> };
