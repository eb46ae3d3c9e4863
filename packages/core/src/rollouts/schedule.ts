/** Which upstreams are ordered to load new weights now, and which receive no new work before that. */
import type * as task from '../kernel/task.js';
import type * as rollouts from './decide.js';
import type * as targets from './targets.js';
import * as waves from './wave.js';

/** A pending order is dropped after this time; the upstream is then asked again. */
const ORDER_TIMEOUT_MS = 3_000;
/** Time without new work before an order; short requests and most streams have ended by then. */
const QUIESCE_MS = 700;

export function activeOrders({ pendingOrders, upstreams }: rollouts.State, now: task.Instant) {
  const kept = Object.entries(pendingOrders).filter(([id, { model, version, startedAtMs }]) => {
    const known = upstreams.find((each) => each.id === id);
    const isDone = (known?.versions[model] ?? version) >= version;
    return !isDone && now.monotonicMs - startedAtMs < ORDER_TIMEOUT_MS;
  });
  return Object.fromEntries(kept);
}

/** Waves of one model, chosen from its reachable upstreams. */
function wavesOf(
  { upstreams, rolloutMs }: rollouts.State,
  model: string,
  target: targets.Target,
  now: task.Instant,
): waves.Waves {
  const candidates = upstreams
    .filter(({ isReachable, versions }) => isReachable && versions[model] !== undefined)
    .map(({ id, versions }) => ({ id, version: versions[model] ?? 0 }));
  return waves.chooseWaves(model, target, candidates, { now, rolloutMs });
}

export function quiescingUpstreams(
  state: rollouts.State,
  now: task.Instant,
): rollouts.State['quiescingSinceMs'] {
  const ids = [...state.targets].flatMap(([model, target]) => {
    const { current, next } = wavesOf(state, model, target, now);
    return [...current, ...next];
  });
  return Object.fromEntries(ids.map((id) => [id, state.quiescingSinceMs[id] ?? now.monotonicMs]));
}

export function newOrders(
  state: rollouts.State,
  now: task.Instant,
): readonly [string, rollouts.PendingOrder][] {
  const hasQuiesced = (id: string) =>
    now.monotonicMs - (state.quiescingSinceMs[id] ?? now.monotonicMs) >= QUIESCE_MS;
  return [...state.targets].flatMap(([model, target]) =>
    wavesOf(state, model, target, now)
      .current.filter((id) => state.pendingOrders[id] === undefined && hasQuiesced(id))
      .map((id): [string, rollouts.PendingOrder] => [
        id,
        {
          model,
          version: target.version,
          address: state.upstreams.find((each) => each.id === id)?.address ?? '',
          step: 'asking',
          startedAtMs: now.monotonicMs,
        },
      ]),
  );
}
