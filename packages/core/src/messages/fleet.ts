/** Messages to the fleet task, which tracks the upstreams, and to the context stores task. */
import type * as canary from '../canary/types.js';
import type * as upstreamHealth from '../fleet/upstream-health.js';
import type * as discovery from '../fleet/discovery.js';
import type * as peerWork from '../fleet/peer-work.js';
import type * as placement from '../fleet/placement.js';
import type * as lifecycle from '../gateway/lifecycle-state.js';
import type * as task from '../kernel/task.js';
import type * as routes from '../gateway/routes.js';
import type * as quarantine from '../quarantine/types.js';
import type * as sharing from '../speed/sharing.js';
import type * as shares from '../shares/types.js';
import type * as inventory from '../shared-context/inventory.js';
import type * as silence from '../silence/types.js';
import type * as beginnings from '../stream-origins/beginnings.js';
import type * as gateway from './gateway.js';
import type * as rollouts from './rollouts.js';
import type * as taskLifecycle from './task-lifecycle.js';

export type FleetMessage =
  | taskLifecycle.LifecycleMessage
  | { type: 'fleet.table-adopted'; table: routes.RoutingTable }
  | { type: 'fleet.upstream-list-read'; update: discovery.Update }
  /** The list of upstreams could not be read. */
  | { type: 'fleet.upstream-list-unavailable' }
  | {
      type: 'fleet.evacuations-changed';
      dataCentres: readonly string[];
      /** See `PlatformWatchUpdated`; undefined if no update brought the change. */
      unchangedAt: task.Instant | undefined;
    }
  | rollouts.TargetVersionsChanged<'fleet.target-versions-changed'>
  /** The versions of upstreams' software at which streams may begin have changed. */
  | { type: 'fleet.beginnings-changed'; beginnings: beginnings.Beginnings }
  | { type: 'fleet.members-changed'; names: readonly string[] }
  | { type: 'fleet.place'; placementRequest: placement.Request; replyTo: gateway.RequestAddress }
  /** A request that waits for a place has ended. */
  | { type: 'fleet.withdraw'; requestId: string }
  /** Requests that wait for a place may be tried again, or have waited for as long as they may. */
  | { type: 'fleet.waiting-due' }
  | {
      type: 'fleet.attempt-ended';
      requestId: string;
      upstream: string;
      outcome: lifecycle.AttemptOutcome;
    }
  /** The first complete event of an attempt, or its whole answer, has arrived. */
  | {
      type: 'fleet.attempt-begun';
      upstream: string;
      requestId: string;
      survived: quarantine.Survived;
    }
  | {
      type: 'fleet.upstream-responded';
      upstream: string;
      requestId: string | undefined;
      /** What the head of the answer says; undefined for the bytes after it. */
      selfReport: upstreamHealth.Signals | undefined;
    }
  | {
      type: 'fleet.check-liveness';
      attempt: string;
      upstream: string;
      replyTo: gateway.RequestAddress;
    }
  /** Asks until when a prompt that waits at the upstream may still begin there. */
  | {
      type: 'fleet.check-begin';
      attempt: string;
      upstream: string;
      model: string;
      replyTo: gateway.RequestAddress;
    }
  | { type: 'fleet.probe-finished'; probe: gateway.Probe; result: ProbeResult }
  | { type: 'fleet.store-changed'; store: string; update: inventory.StoreUpdate }
  | { type: 'fleet.sharing-changed'; sharing: peerWork.Sharing }
  /** Another instance's summary of its work in flight. */
  | { type: 'fleet.peer-update'; update: peerWork.Update }
  /** The upstreams that other instances have found silent. */
  | { type: 'fleet.silence-update'; update: silence.Update }
  /** What another instance knows of the speed of upstreams. */
  | { type: 'fleet.speed-update'; update: sharing.Update }
  /** Another instance's work by client account. */
  | { type: 'fleet.usage-update'; update: shares.Update }
  /** What another instance knows of parts that crash upstreams. */
  | { type: 'fleet.quarantine-update'; update: quarantine.Update }
  /** Verdicts in the platform's store; `removed` holds names of objects. */
  | {
      type: 'fleet.verdicts-read';
      verdicts: readonly quarantine.StoredVerdict[];
      removed: readonly string[];
      isSnapshot: boolean;
    }
  /** Answer to a write of a verdict; `version` is undefined if it was refused or lost. */
  | {
      type: 'fleet.verdict-stored';
      name: string;
      version: number | undefined;
      isTrial: boolean;
    }
  /** Crashes that instances recorded before this one started. */
  | { type: 'fleet.crashes-read'; records: readonly quarantine.CrashRecord[] }
  /** Answer to a write of this instance's own record. */
  | { type: 'fleet.crashes-stored'; outcome: quarantine.WriteOutcome }
  /** All releases of the services, which replace those before. */
  | { type: 'fleet.releases-changed'; releases: readonly canary.Release[] }
  /** This instance's peer update is due. */
  | { type: 'fleet.publish-work' }
  | { type: 'fleet.tick' };

export type ProbeResult =
  | { kind: 'healthy'; coldMs: number | undefined }
  /** The upstream answers but accepts no work, or another upstream answers at its address. */
  | { kind: 'unhealthy'; reason: string; pauseMs: number | undefined }
  | { kind: 'no-response' };

/** Messages to the task that reads the context stores' events. */
export type ContextStoresMessage =
  | taskLifecycle.LifecycleMessage
  | { type: 'context-stores.set-stores'; stores: readonly routes.ContextStore[] }
  /** Whether this instance reads the stores itself. */
  | { type: 'context-stores.role-changed'; isReader: boolean; sharing: peerWork.Sharing }
  | { type: 'context-stores.free'; request: FreeRequest }
  | { type: 'context-stores.poll'; store: string };

/** Frees parts of one store, unless the store has restarted since. */
export type FreeRequest = {
  store: string;
  address: string;
  epoch: number;
  parts: readonly { salt: string; id: string }[];
};
