/** Messages to and from the task that talks to the kept context stores. */
import type * as naming from '../kept-context/naming.js';
import type * as safeRead from '../kept-context/safe-read.js';
import type * as configuration from './configuration.js';
import type * as taskLifecycle from './task-lifecycle.js';

/** A report published by a store. */
export type StoreReport =
  | { kind: 'committed'; sequence: number; manifest: safeRead.Manifest }
  | { kind: 'dropped'; sequence: number; piece: naming.PieceName }
  | {
      kind: 'snapshot';
      sequence: number;
      storeIncarnation: string;
      manifests: readonly safeRead.Manifest[];
    }
  /** The stream of reports ended unexpectedly. */
  | { kind: 'silent' };

/** Sent to the routing task. */
export type StoreReported = { type: 'store.reported'; store: string; report: StoreReport };

export type StoresMessage =
  | taskLifecycle.LifecycleMessage
  | configuration.ConfigurationAdopted
  /** Drops a piece, unless its slot has been reused since. */
  | { type: 'stores.drop-piece'; manifest: safeRead.Manifest }
  | { type: 'stores.request-snapshot'; store: string };
