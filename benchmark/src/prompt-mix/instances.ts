/**
 * The instances of a site: each places with the real decisions, and hears of the work of the others by
 * way of a reader, in sums that are some hundred milliseconds old.
 */
import * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';

import type * as timeline from '../models/timeline.js';
import type * as loads from './load.js';

/** Interval of the readers' sums and the time until they arrive: knowledge is 0.4 to 0.8 s old. */
const SUM_INTERVAL_MS = 400;
const SUM_DELAY_MS = 400;
const SERVICE = 'models';

export type Instances = {
  states: core.fleet.state.State[];
  upstreams: readonly string[];
  tell(at: number, message: core.messages.FleetMessage): void;
};

export function instant(nowMs: number): core.kernel.Instant {
  return { monotonicMs: nowMs, wallMs: nowMs };
}

export type Setup = {
  /** The features that the settings name. */
  features: readonly string[];
  /** Whether updates of peers arrive. */
  isHeard: boolean;
  /** Whether instances learn nothing of the mix of prompts, and so take them all to be alike. */
  forgetsMix: boolean;
};

/** Keeps nothing, so that each prompt is the first one of its service. */
function forgetful(): core.promptMix.state.Mixes {
  const mixes: core.promptMix.state.Mixes = new Map();
  return Object.assign(mixes, { set: () => mixes });
}

export function create(time: timeline.Timeline, site: loads.Site, setup: Setup): Instances {
  const upstreams = Array.from({ length: site.engines }, (_, at) => `u-${at}`);
  const members = Array.from({ length: site.instances }, (_, at) => `instance-${at}`);
  const listed = upstreams.map((id) => fixtures.aListedUpstream(id, { slots: 64 }));
  const service = fixtures.aService({
    coldPerS: 1_000,
    coldStartMs: 0,
    engine: { cacheCapacityTokens: site.memoryTokens },
  });
  const states = members.map((instance) =>
    fixtures.aFleet(listed, {
      instance,
      members,
      services: new Map([[SERVICE, service]]),
      sharing: 'through-reader',
      ranks: [0, 5],
      features: new Set(setup.features),
      promptMixes: setup.forgetsMix ? forgetful() : new Map(),
    }),
  );
  const tell = (at: number, message: core.messages.FleetMessage) => {
    const { [at]: state } = states;
    if (state) states[at] = core.fleet.decide(state, message, instant(time.nowMs())).state;
  };
  const sum = () => {
    time.after(SUM_INTERVAL_MS, sum);
    const sentAtMs = time.nowMs();
    const work = upstreams.map((upstream) => ({ upstream, work: workAt(states, upstream) }));
    time.after(SUM_DELAY_MS, () =>
      states.forEach((_, at) =>
        tell(at, {
          type: 'fleet.peer-update',
          update: {
            from: 'reader',
            scope: 'fleet',
            instances: site.instances,
            incarnation: 'reader-1',
            sentAtMs,
            isSnapshot: false,
            work,
            sentParts: [],
          },
        }),
      ),
    );
  };
  if (setup.isHeard) sum();
  return { states, upstreams, tell };
}

function workAt(states: readonly core.fleet.state.State[], upstream: string) {
  return core.fleet.peerWork.sum(
    states.flatMap(({ registry }) => {
      const known = registry.upstreams.get(upstream);
      return known && known.inFlight.size > 0 ? [core.fleet.peerUpdates.ownWork(known)] : [];
    }),
  );
}
