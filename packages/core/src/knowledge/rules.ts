/**
 * What an instance has to know of the platform's objects, and by when. Each kind has its rule, so that a
 * kind without one does not compile.
 */
import type * as platform from '../messages/platform.js';

export type Kind =
  'routing-table' | 'upstreams' | 'evacuations' | 'weights' | 'verdicts' | 'members' | 'rollouts';

/** Time limits of the deployment within which a change has to be in force, in ms. */
export type Bounds = {
  adoptionMs: number;
  drainMs: number;
  evacuationMs: number;
  rolloutMs: number;
};

/** What it means that an old copy, from which the platform came back, lacks an object. */
export type Absence =
  /** It has been removed. */
  | 'removed'
  /** Nothing: only a removal that is told ends it. */
  | 'kept'
  /** Nothing, until whoever wrote it has had time to write it again. */
  | 'kept-until-settled'
  /** Its writer may be back soon, as after an outage of the platform. */
  | 'as-after-outage';

export type Rule = {
  /** How long the platform may hold a watch. A lost answer is noticed no sooner. */
  waitMs: (bounds: Bounds) => number;
  /** For how long further changes are gathered after one. */
  pauseMs: (bounds: Bounds) => number;
  /** Least time between two calls that catch up with a reader, in ms. */
  catchUpPauseMs?: number;
  /** Whether a reader passes the changes on; they must be small and public. */
  relaysContent: boolean;
  absence: Absence;
};

const noPause = () => 0;

export const RULES: Readonly<Record<Kind, Rule>> = {
  'routing-table': {
    waitMs: ({ adoptionMs }) => adoptionMs * 0.3,
    pauseMs: noPause,
    relaysContent: false,
    absence: 'kept',
  },
  upstreams: {
    waitMs: ({ drainMs }) => drainMs * 0.25,
    // Upstreams write in bursts.
    pauseMs: ({ adoptionMs }) => adoptionMs * 0.1,
    relaysContent: true,
    absence: 'as-after-outage',
  },
  evacuations: {
    waitMs: ({ evacuationMs }) => evacuationMs * 0.2,
    pauseMs: noPause,
    relaysContent: true,
    absence: 'kept-until-settled',
  },
  weights: {
    // The wait is lost of the bound; see `unchangedAt`.
    waitMs: ({ rolloutMs }) => rolloutMs * 0.15,
    pauseMs: noPause,
    relaysContent: true,
    absence: 'kept',
  },
  verdicts: {
    // Instances tell each other of a new verdict at once; the platform is for those that start later.
    waitMs: () => 15_000,
    pauseMs: noPause,
    relaysContent: true,
    absence: 'kept',
  },
  rollouts: {
    // Upstreams of the new version are listed at the same time.
    waitMs: ({ drainMs }) => drainMs * 0.25,
    pauseMs: noPause,
    relaysContent: true,
    absence: 'kept',
  },
  members: {
    waitMs: () => 15_000,
    // Members that join together are read together. Their entries hold keys.
    pauseMs: () => 1_000,
    catchUpPauseMs: 3_000,
    relaysContent: false,
    absence: 'removed',
  },
};

/** Time for two questions to the reader and their answers, as a share of the adoption bound. */
const RELAY_SHARE = 0.2;

/** How the kind is watched. */
export function paceOf(kind: Kind, bounds: Bounds): platform.WatchPacing {
  const { relaysContent, catchUpPauseMs, ...rule } = RULES[kind];
  const waitMs = Math.floor(rule.waitMs(bounds));
  const pauseMs = Math.floor(rule.pauseMs(bounds));
  return {
    waitMs,
    pauseMs,
    // A reader that follows the kind has confirmed it within two waits.
    limitMs: 2 * waitMs + pauseMs + Math.floor(bounds.adoptionMs * RELAY_SHARE),
    relaysContent,
    ...(catchUpPauseMs === undefined ? {} : { catchUpPauseMs }),
  };
}
