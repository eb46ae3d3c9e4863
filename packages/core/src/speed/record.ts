/** Records what upstreams show and report of their speed. Called by the fleet task's decisions. */
import type * as fleet from '../fleet/state.js';
import type * as upstreams from '../fleet/upstream.js';
import type * as upstreamHealth from '../fleet/upstream-health.js';
import type * as task from '../kernel/task.js';
import * as loadControl from '../load-control/index.js';
import * as serviceModel from './service-model.js';
import * as state from './state.js';
import * as upstreamModel from './upstream-model.js';

/** Records the load and the slowdown in the head of an answer; must precede the answer's sample. */
export function recordSignals(
  fleetState: fleet.State,
  { registration, speed }: upstreams.Upstream,
  { load, slowdown }: Pick<upstreamHealth.Signals, 'load' | 'slowdown'>,
  now: task.Instant,
): void {
  if (load) Object.assign(speed, { loadAtMs: now.monotonicMs });
  if (slowdown === undefined) return;
  fleetState.slowdownServices.add(registration.service);
  upstreamModel.recordReport(speed, { value: Math.log(slowdown), atMs: now.monotonicMs });
}

/** Records the first event of an attempt. Marks the upstream for the next update of its speed to peers. */
export function recordFirstEvent(
  fleetState: fleet.State,
  { registration: { id, service }, speed }: upstreams.Upstream,
  { startedAtMs, forecast }: upstreams.InFlightRequest,
  now: task.Instant,
): void {
  if (!forecast) return;
  const tookMs = now.monotonicMs - startedAtMs;
  const model = state.serviceModelOf(fleetState, service);
  serviceModel.recordSample(model, speed, { forecast, tookMs }, now.monotonicMs);
  if (!loadControl.isPredictive(fleetState, service)) return;
  // Inserted again, so that the order of the set is that of the newest samples.
  fleetState.outbox.changedSpeeds.delete(id);
  fleetState.outbox.changedSpeeds.add(id);
}

/** Records the end of an answered attempt. */
export function recordEnd(
  fleetState: fleet.State,
  { registration: { service } }: upstreams.Upstream,
  { startedAtMs, forecast }: upstreams.InFlightRequest,
  now: task.Instant,
): void {
  if (forecast?.kind !== 'prompt') return;
  const tookMs = now.monotonicMs - startedAtMs - forecast.blockedMs;
  serviceModel.recordResidence(state.serviceModelOf(fleetState, service), tookMs);
}
