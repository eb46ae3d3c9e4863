/** State and commands of the readers task. */
import type * as peerWork from '../fleet/peer-work.js';
import type * as task from '../kernel/task.js';
import type * as peerUpdates from '../messages/peer-updates.js';
import type * as messages from '../messages/readers.js';
import type * as groups from './groups.js';
import type * as storeBatch from './store-batch.js';

/**
 * Where this instance gets its knowledge from. `undecided`: just started, the members are not known or
 * no candidate has answered yet.
 */
export type Source =
  { kind: 'undecided'; sinceMs: number } | { kind: 'self' } | { kind: 'peer'; name: string };

/** The newest answer of a candidate: when it arrived, and the age of its newest confirmation then. */
export type Heard = { atMs: number; ageMs: number };

export type State = {
  name: string;
  incarnation: string;
  /** Time within which a change of the configuration must be in force. */
  adoptionMs: number;
  members: readonly groups.Member[];
  maxReaders: number;
  groups: groups.Groups;
  source: Source;
  heard: ReadonlyMap<string, Heard>;
  /** Peers that ask this instance, with the time of their newest question. */
  followers: ReadonlyMap<string, number>;
  positions: ReadonlyMap<string, messages.WatchPosition>;
  storeBatch: storeBatch.Batch;
  ticks: number;
  /** When this instance last lost its reader; it then reads for itself for a while. */
  lostReaderAtMs: number;
};

export type Command =
  | { kind: 'send'; update: peerUpdates.PeerUpdate; to: readonly string[] }
  /** `isRelayed`: another instance reads for this one, or will. `reader`: its name, for the journal. */
  | { kind: 'set-source'; isRelayed: boolean; sharing: peerWork.Sharing; reader: string }
  | { kind: 'set-audiences'; audiences: peerUpdates.Audiences }
  | { kind: 'confirm'; positions: readonly messages.WatchPosition[] }
  | { kind: 'apply-changes'; changes: messages.WatchChanges }
  | { kind: 'schedule-tick'; delayMs: number };

export type Step = task.Step<State, Command>;

/** Until the configuration of the context stores is known. */
const DEFAULT_MAX_READERS = 12;

export type Options = Pick<State, 'name' | 'incarnation' | 'adoptionMs'>;

export function initial(options: Options, now: task.Instant): State {
  return {
    ...options,
    members: [],
    maxReaders: DEFAULT_MAX_READERS,
    groups: { isShared: false, candidates: [], otherReaders: [] },
    source: { kind: 'undecided', sinceMs: now.monotonicMs },
    heard: new Map(),
    followers: new Map(),
    positions: new Map(),
    storeBatch: new Map(),
    ticks: 0,
    lostReaderAtMs: -Infinity,
  };
}
