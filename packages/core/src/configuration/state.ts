/** State of the configuration task, and the commands that its shell executes. */
import type * as configurationMessages from '../messages/configuration.js';
import type * as results from '../results/index.js';
import type * as changes from './changes.js';
import type * as head from './head.js';
import type * as schema from './schema.js';

export type Source = 'platform' | 'peer';
export type ConfirmationStatus =
  configurationMessages.ConfirmationStatusChanged['confirmationStatus'];

export type State = {
  ownName: string;
  ownDataCentre: string;
  current: schema.Configuration | undefined;
  /** The latest changes up to the current generation, for peers that lack them. Bounded. */
  recentChanges: readonly changes.Change[];
  /** A head whose changes do not reach back to the current generation. Its base is being read. */
  pendingHead: { head: head.Head; seenAtMs: number } | undefined;
  /**
   * Monotonic time of the platform's last confirmation of the current generation, here or at a
   * peer.
   */
  confirmedAtMs: number | undefined;
  confirmationStatus: ConfirmationStatus;
  /** Whether this instance watches the platform and relays changes in its data centre. */
  isRelay: boolean;
  /** Other live instances in the data centre of this instance. */
  near: readonly string[];
  /** All other instances. */
  others: readonly string[];
  nextReadAtMs: number;
  /** Reads since the last confirmation. */
  reads: number;
};

export type Command =
  | { kind: 'watch' }
  | { kind: 'unwatch' }
  | { kind: 'read'; what: 'head' | 'base'; key: string }
  | { kind: 'publish'; configuration: schema.Configuration }
  | { kind: 'publish-confirmation-status'; confirmationStatus: ConfirmationStatus }
  | { kind: 'relay-changes'; to: readonly string[]; changes: readonly changes.Change[] }
  | { kind: 'send-changes'; address: string; changes: readonly changes.Change[] }
  | { kind: 'send-configuration'; address: string; configuration: schema.Configuration }
  | { kind: 'request'; to: readonly string[] | 'seeds'; generation: number }
  /** Reports the confirmation to the membership task, whose heartbeats carry it to peers. */
  | { kind: 'report'; generation: number; confirmedAtMs: number | undefined }
  | { kind: 'schedule-tick' }
  | { kind: 'record-adopted'; generation: number; source: Source }
  | { kind: 'record-refused'; failure: results.Failure };

/** An instance starts as a relay: before it has a list of the others, it gets no relayed changes. */
export function initial(ownName: string, ownDataCentre: string): State {
  return {
    ownName,
    ownDataCentre,
    current: undefined,
    recentChanges: [],
    pendingHead: undefined,
    confirmedAtMs: undefined,
    confirmationStatus: 'unconfirmed',
    isRelay: true,
    near: [],
    others: [],
    nextReadAtMs: 0,
    reads: 0,
  };
}
