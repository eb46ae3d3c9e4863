/** State and commands of the canary task. */
import type * as task from '../kernel/task.js';
import * as leases from '../leases/index.js';
import type * as peerWork from '../fleet/peer-work.js';
import type * as sequential from './sequential.js';
import type * as canary from './types.js';

/** What another instance last reported. */
export type HeardReport = {
  atMs: number;
  scope: canary.Update['scope'];
  report: Omit<canary.Report, 'cells'>;
};

/**
 * What is stored of a release for the case that all instances are killed. `stored`: the text that the
 * store has, as far as this instance knows.
 */
export type Progress = {
  version: number;
  stored: string;
  /** Id of the write that is under way. */
  writing: string | undefined;
  writeAfterMs: number;
};

export const NO_PROGRESS: Progress = {
  version: 0,
  stored: '',
  writing: undefined,
  writeAfterMs: 0,
};

/** The content of the stored object; `orderedAtMs` is wall time. */
export type StoredProgress = {
  to: string;
  orderedAtMs: number;
  step: number;
  isBad: boolean;
};

/** One order and what is known of its release. */
export type Running = {
  order: canary.Order;
  /** When the order was given, as far as any instance knows; in monotonic ms. */
  orderedAtMs: number;
  step: number;
  /** When this instance heard of the step. */
  stepAtMs: number;
  isBad: boolean;
  /** The order was removed before the release ended. */
  isRemoved: boolean;
  tests: sequential.Tests;
  /** Responses that have not been evaluated here. */
  toEvaluate: canary.Cells;
  /** Responses that have not been told to others. */
  toTell: canary.Cells;
  /** What the fleet task of this instance last said of the service. */
  versions: canary.ServiceVersions | undefined;
  heard: ReadonlyMap<string, HeardReport>;
  /** A status whose write has not been answered. */
  writing: { correlationId: string; state: canary.OrderState; sentAtMs: number } | undefined;
  /** Monotonic time before which no write is sent. */
  writeAfterMs: number;
  progress: Progress;
  shunned: readonly string[];
};

export type State = {
  bounds: canary.Bounds;
  instance: string;
  lease: leases.Lease;
  /** By name of the order; the name is that of the service. */
  releases: ReadonlyMap<string, Running>;
  members: readonly string[];
  sharing: peerWork.Sharing;
  isLeaving: boolean;
  nextId: number;
  evaluatedAtMs: number;
};

export type Command =
  | leases.Command
  | { kind: 'wake'; delayMs: number }
  | { kind: 'apply'; releases: readonly canary.Release[] }
  | { kind: 'publish'; scope: canary.Update['scope']; update: canary.Update }
  | {
      kind: 'write-status';
      correlationId: string;
      name: string;
      expectedVersion: number;
      status: canary.OrderStatus;
    }
  | { kind: 'read-progress'; name: string }
  | {
      kind: 'write-progress';
      correlationId: string;
      name: string;
      expectedVersion: number;
      value: StoredProgress;
    }
  | {
      kind: 'record';
      event:
        'releaseOrdered' | 'releaseStep' | 'releaseRolledBack' | 'releaseWritten' | 'releaseEnded';
      running: Running;
      detail: string;
      ageMs: number;
    };

export type Step = task.Step<State, Command>;

export function initial(
  instance: string,
  leaseOptions: leases.Options,
  bounds: canary.Bounds,
): State {
  return {
    bounds,
    instance,
    lease: leases.create(leaseOptions),
    releases: new Map(),
    members: [],
    sharing: 'with-all',
    isLeaving: false,
    nextId: 1,
    evaluatedAtMs: 0,
  };
}

/** Whether the system still has something to decide or to write. */
export function isOpen({ order }: Pick<Running, 'order'>): boolean {
  return order.status?.state !== 'completed' && order.status?.state !== 'rolled_back';
}

export function withRelease(state: State, running: Running): State {
  return { ...state, releases: new Map(state.releases).set(running.order.name, running) };
}
