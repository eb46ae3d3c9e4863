/** Where requests go and with which priority: the system's policy and its baselines. */
import * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';

import type * as engines from './engine.js';
import * as instances from './instances.js';
import * as loads from './load.js';

/**
 * `speed-alone`: predictive load control without the mix. `before`: without predictive load control.
 */
export type Policy = 'prompt-mix' | 'speed-alone' | 'before' | 'least-loaded' | 'fixed-split';
export const POLICIES: readonly Policy[] = [
  'prompt-mix',
  'speed-alone',
  'before',
  'least-loaded',
  'fixed-split',
];

export const FEATURES: Readonly<Record<Policy, readonly string[]>> = {
  'prompt-mix': ['pressure'],
  'speed-alone': ['pressure'],
  before: [],
  'least-loaded': [],
  'fixed-split': [],
};

/** Share of the upstreams that the fixed split sets aside for long prompts. */
const LONG_POOL_SHARE = 1 / 2;

export type Asked = { arrival: loads.Arrival; attempt: number; isRepeat: boolean };
export type Placed =
  | { kind: 'placed'; upstream: string; priority: number }
  | { kind: 'refused'; freeInMs: number | undefined };

export function place(
  { policy, isOneRank }: { policy: Policy; isOneRank: boolean },
  fleet: instances.Instances,
  asked: Asked,
  nowMs: number,
): Placed {
  const { arrival } = asked;
  const { [arrival.instance]: state } = fleet.states;
  if (!state) return { kind: 'refused', freeInMs: undefined };
  const request = requestOf(asked, excludedBy(policy, fleet, state, arrival.kind));
  const { rank } = loads.SIZES[isOneRank ? 'long' : arrival.kind];
  const decision = core.fleet.placement.place(state, request, instances.instant(nowMs));
  switch (decision.kind) {
    case 'placed':
      return {
        kind: 'placed',
        upstream: decision.destination.upstream,
        priority: core.promptMix.priority.priorityOf({
          rank,
          turn: decision.destination.turn ?? { kind: 'by-rank' },
          isResumed: false,
          waitedMs: nowMs - arrival.atMs,
          latencyTargetMs: loads.SIZES[arrival.kind].targetMs,
        }),
      };
    case 'none':
      return { kind: 'refused', freeInMs: decision.freeInMs };
    default:
      return core.results.assertNever(decision);
  }
}

export function requestId({ arrival, attempt }: Asked): string {
  return `${arrival.id}.${attempt}`;
}

function requestOf(asked: Asked, excludedUpstreams: readonly string[]) {
  const { id, kind, shared } = asked.arrival;
  const { sharedTokens, ownTokens, targetMs } = loads.SIZES[kind];
  const parts = [
    { id: shared, tokens: sharedTokens },
    { id: `own-${id}`, tokens: ownTokens },
  ];
  return fixtures.aPlacementRequest({
    requestId: requestId(asked),
    content: id,
    prompt: { model: 'model-1', parts },
    latencyTargetMs: targetMs,
    excludedUpstreams,
    isRepeat: asked.isRepeat,
  });
}

function excludedBy(
  policy: Policy,
  { upstreams }: instances.Instances,
  state: core.fleet.state.State,
  kind: engines.Kind,
): readonly string[] {
  switch (policy) {
    case 'prompt-mix':
    case 'speed-alone':
    case 'before':
      return [];
    case 'least-loaded': {
      const best = leastLoaded(state);
      return upstreams.filter((id) => id !== best);
    }
    case 'fixed-split': {
      const pool = Math.round(upstreams.length * LONG_POOL_SHARE);
      return kind === 'long' ? upstreams.slice(pool) : upstreams.slice(0, pool);
    }
    default:
      return core.results.assertNever(policy);
  }
}

/** The fewest requests in flight, as far as the instance knows; the first of equals. */
function leastLoaded(state: core.fleet.state.State): string {
  const loadsOf = [...state.registry.upstreams.values()].map((each) => ({
    id: each.registration.id,
    requests: each.inFlight.size + each.peerWork.requests,
  }));
  return loadsOf.sort((a, b) => a.requests - b.requests)[0]?.id ?? '';
}
