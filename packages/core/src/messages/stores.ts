/** Messages to and from the task that talks with kept-cache stores. */
import type * as naming from '../kept-context/naming.js';
import type * as safeRead from '../kept-context/safe-read.js';
import type * as configuration from './configuration.js';
import type * as taskLifecycle from './task-lifecycle.js';

/** What a store publishes. */
export type StoreReport =
  | { kind: 'committed'; sequence: number; manifest: safeRead.Manifest }
  | { kind: 'dropped'; sequence: number; piece: naming.PieceName }
  | {
      kind: 'snapshot';
      sequence: number;
      storeIncarnation: string;
      manifests: readonly safeRead.Manifest[];
    }
  /** The stream of reports broke off. */
  | { kind: 'silent' };

/** Sent to the routing task. */
export type StoreReported = { type: 'store.reported'; store: string; report: StoreReport };

export type StoresMessage =
  | taskLifecycle.LifecycleMessage
  | configuration.ConfigurationAdopted
  /** Drops a piece, unless its slot was given out anew meanwhile. */
  | { type: 'stores.drop-piece'; manifest: safeRead.Manifest }
  | { type: 'stores.request-snapshot'; store: string };
