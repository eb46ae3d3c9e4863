/**
 * Messages to the readers task, which chooses the instance that reads the platform and the context
 * stores for this one.
 */
import type * as task from '../kernel/task.js';
import type * as inventory from '../shared-context/inventory.js';
import type * as peerUpdates from './peer-updates.js';
import type * as platform from './platform.js';
import type * as taskLifecycle from './task-lifecycle.js';

/** How far an instance knows the platform's objects of one kind. */
export type WatchPosition = {
  objectKind: string;
  /** Revision of the platform up to which every change of the kind is known. */
  revision: number;
  /** Revision at or before which the last change of the kind took place. */
  changedAt: number;
  /** When the question was sent whose answer confirmed this position. */
  askedAt: task.Instant;
};

/** A position as one instance tells it to another, whose clocks differ. */
export type RelayedPosition = Omit<WatchPosition, 'askedAt'> & { ageMs: number };

/** The changes of one kind between two positions. */
export type WatchChanges = {
  objectKind: string;
  /** An instance that knows less than this revision has missed earlier changes. */
  since: number;
  revision: number;
  objects: readonly platform.StoredObject[];
  removed: readonly string[];
};

/** Identifies a question by the time at which it was sent, on the clocks of that process. */
export type Question = { incarnation: string; sentAt: task.Instant };

export type ReadersMessage =
  | taskLifecycle.LifecycleMessage
  | { type: 'readers.members-changed'; members: readonly peerUpdates.PeerEndpoint[] }
  /** How many instances may read the events of a context store at once. */
  | { type: 'readers.limit-changed'; maxReaders: number }
  /** A peer asks what this instance knows, and follows it for a while. */
  | { type: 'readers.asked'; from: string; question: Question }
  | {
      type: 'readers.answered';
      from: string;
      question: Question;
      positions: readonly RelayedPosition[];
    }
  /** This instance has confirmed its position, by itself or through its reader. */
  | { type: 'readers.position-confirmed'; position: WatchPosition }
  /** This instance has read changes from the platform itself. */
  | { type: 'readers.changes-read'; changes: WatchChanges }
  | { type: 'readers.changes-received'; from: string; changes: WatchChanges }
  /** This instance has read a context store itself. */
  | { type: 'readers.store-read'; store: string; update: inventory.StoreUpdate }
  | { type: 'readers.tick' };
