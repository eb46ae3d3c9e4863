/** The ways to choose an upstream that are compared. */
import * as core from '@medlarweir/core';

import type * as scenarios from './scenarios.js';

/**
 * `before`: the placement without predictive load control. `predicted`: with it. The others choose by the
 * number of requests in flight that the instance knows of.
 */
export type Policy = 'before' | 'predicted' | 'least-requests' | 'two-choices';

export const ALL: readonly Policy[] = ['before', 'predicted', 'least-requests', 'two-choices'];

type State = core.fleet.state.State;
type Request = core.fleet.placement.Request;
type Moment = { monotonicMs: number; wallMs: number };

export function createState(
  scenario: scenarios.Scenario,
  policy: Policy,
  given: {
    name: string;
    names: readonly string[];
    ids: readonly string[];
    sharing: core.fleet.peerWork.Sharing;
    bounds: core.fleet.state.Bounds;
  },
): State {
  const { name, names, ids, sharing, bounds } = given;
  const features = policy === 'predicted' ? ['pressure'] : [];
  const engine =
    scenario.service === 'plain'
      ? undefined
      : { cacheCapacityTokens: scenario.cacheCapacityTokens };
  const service = {
    name: 'models',
    healthPath: '/health',
    maxConnections: 100,
    coldStartMs: 0,
    coldPerS: 1_000,
    engine,
  };
  const state: State = {
    ...core.fleet.state.initial(name, 'dc-1', bounds, 'life-1', features),
    services: new Map([['models', service]]),
    members: names,
    senders: names,
    sharing,
  };
  const changed = ids.map((id): core.fleet.upstream.Registration => ({
    id,
    service: 'models',
    address: `${id}:1`,
    dataCentre: 'dc-1',
    slots: scenario.slots,
    presence: 'ready',
    coldRemainingMs: 0,
    models: [{ model: 'model-1', version: 1 }],
    softwareVersion: 'v1',
    incarnationStartedAtMs: 1,
  }));
  const update = { changed, removed: [], isSnapshot: true };
  core.fleet.discovery.applyUpdate(state.registry, update, { monotonicMs: 0, wallMs: 0 });
  return state;
}

export function requestOf(
  requestId: string,
  service: string,
  { tokens, latencyTargetMs }: scenarios.Kind,
): Request {
  const parts = [
    { id: `shared-${requestId}`, tokens: Math.round(tokens * 0.7) },
    { id: `own-${requestId}`, tokens: Math.round(tokens * 0.3) },
  ];
  return {
    requestId,
    service,
    prompt: tokens > 0 ? { model: 'model-1', parts } : undefined,
    content: requestId,
    clientAccount: '',
    isolatedAccount: undefined,
    excludedUpstreams: [],
    softwareVersion: undefined,
    latencyTargetMs,
    mayRefuse: true,
    isRepeat: false,
    beginsStream: false,
    isResumed: false,
  };
}

export function place(
  policy: Policy,
  state: State,
  request: Request,
  now: Moment,
  share: () => number,
): core.fleet.placement.Decision {
  switch (policy) {
    case 'before':
    case 'predicted':
      return core.fleet.placement.place(state, request, now);
    case 'least-requests':
      return placeAt(state, request, now, least(state, [...state.registry.upstreams.keys()]));
    case 'two-choices': {
      const ids = [...state.registry.upstreams.keys()];
      const draw = () => ids[Math.floor(share() * ids.length)] ?? '';
      return placeAt(state, request, now, least(state, [draw(), draw()]));
    }
    default:
      return core.results.assertNever(policy);
  }
}

/** Of those with the fewest requests, the one that the smallest hash puts first. */
function least(state: State, ids: readonly string[]): string {
  const counted = ids.map((id) => {
    const upstream = state.registry.upstreams.get(id);
    return { id, requests: upstream ? core.fleet.queue.totalWork(state, upstream).requests : 0 };
  });
  return counted.reduce((best, each) => (each.requests < best.requests ? each : best)).id;
}

/** Places the request at one upstream, with the bookkeeping of the product. */
function placeAt(
  state: State,
  request: Request,
  now: Moment,
  chosen: string,
): core.fleet.placement.Decision {
  const others = [...state.registry.upstreams.keys()].filter((id) => id !== chosen);
  const only = { ...request, excludedUpstreams: others, mayRefuse: false };
  return core.fleet.placement.place(state, only, now);
}

/** The time from the placement to the first event that the policy expects. */
export function predictedMs(
  policy: Policy,
  state: State,
  service: string,
  { expected }: core.messages.Destination,
): number {
  if (policy === 'predicted') return expected.firstEventMs ?? 0;
  const rate = core.fleet.prefillRate.tokensPerMs(state, service);
  return expected.waitMs + expected.tokensToRead / rate;
}
