/** Processor time of one placement of mixed prompts, at several numbers of upstreams. */
import * as perfHooks from 'node:perf_hooks';

import * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';

import * as instances from './instances.js';
import * as loads from './load.js';

const UPSTREAMS: readonly number[] = [42, 63, 380];
const INSTANCES = 380;
const WARM_UP = 2_000;
const MEASURED = 2_000;
const IN_FLIGHT = 200;
const INTERVAL_MS = 200;
const PARTS = 24;
const TICK_EVERY = 3;

export type DecisionTime = { upstreams: number; before: number; mixed: number };

/** In µs, the median of all placements. */
export function measure(): readonly DecisionTime[] {
  return UPSTREAMS.map((upstreams) => ({
    upstreams,
    before: medianMicros(upstreams, []),
    mixed: medianMicros(upstreams, ['pressure']),
  }));
}

function medianMicros(upstreams: number, features: readonly string[]): number {
  const ids = Array.from({ length: upstreams }, (_, at) => `u-${at}`);
  const work = { unreadTokens: 500, promptTokens: 14_000, requests: 3 };
  const update = fixtures.aPeerUpdate({
    scope: 'fleet',
    instances: INSTANCES,
    work: ids.map((upstream) => ({ upstream, work })),
  });
  const state = fixtures.decided(
    fixtures.aFleet(
      ids.map((id) => fixtures.aListedUpstream(id, { slots: 64 })),
      {
        members: Array.from({ length: INSTANCES }, (_, at) => `instance-${at}`),
        sharing: 'through-reader',
        features: new Set(features),
      },
    ),
    { type: 'fleet.peer-update', update },
  );
  const micros: number[] = [];
  for (let at = 0; at < WARM_UP + MEASURED; at += 1) {
    const now = instances.instant(at * INTERVAL_MS);
    const size = loads.SIZES[at % 3 === 0 ? 'long' : 'short'];
    const request = fixtures.aPlacementRequest({
      requestId: `r-${at}`,
      prompt: {
        model: 'model-1',
        parts: [
          { id: `part-${at % PARTS}-${size.sharedTokens}`, tokens: size.sharedTokens },
          { id: `own-${at}`, tokens: size.ownTokens },
        ],
      },
      mayRefuse: false,
    });
    if (at % TICK_EVERY === 0) core.fleet.decide(state, { type: 'fleet.tick' }, now);
    const beganMs = perfHooks.performance.now();
    core.fleet.placement.place(state, request, now);
    if (at >= WARM_UP) micros.push((perfHooks.performance.now() - beganMs) * 1_000);
    const ended = `r-${at - IN_FLIGHT}`;
    state.registry.upstreams.forEach(({ inFlight }) => inFlight.delete(ended));
  }
  return Math.round(micros.sort((a, b) => a - b)[MEASURED / 2] ?? 0);
}
