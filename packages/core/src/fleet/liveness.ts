/** Decides which upstreams are probed, and what a probe's result means. */
import type * as task from '../kernel/task.js';
import type * as fleetMessages from '../messages/fleet.js';
import * as results from '../results/index.js';
import * as silence from '../silence/index.js';
import type * as decide from './decide.js';
import * as quarantineSteps from './quarantine-steps.js';
import * as reach from './reach.js';
import * as silenceSteps from './silence-steps.js';
import type * as fleet from './state.js';
import * as upstreams from './upstream.js';
import * as upstreamHealth from './upstream-health.js';

type MessageOf<Type extends fleetMessages.FleetMessage['type']> = Extract<
  fleetMessages.FleetMessage,
  { type: Type }
>;

/** Replies whether the upstream is marked silent; if not, probes it after a silence timeout without bytes. */
export function check(
  state: fleet.State,
  { attempt, upstream: id, replyTo }: MessageOf<'fleet.check-liveness'>,
  now: task.Instant,
): decide.Step {
  const upstream = state.registry.upstreams.get(id);
  const isSilent =
    !upstream ||
    upstream.reachability.kind === 'silent' ||
    silence.judgement.isReported(state, id) ||
    (reach.isCutOff(state) && upstreamHealth.isSilent(upstream, now));
  const reply: decide.Command = {
    kind: 'reply',
    replyTo,
    message: { type: 'fleet.liveness-checked', attempt, isSilent },
  };
  const isProbeDue =
    !isSilent && upstreamHealth.isSilent(upstream, now) && !upstreams.isPaused(upstream, now);
  if (!isProbeDue) {
    return { state, commands: [reply] };
  }
  const { address } = upstream.registration;
  // The request checks again after the probe's answer is due.
  return {
    state,
    commands: [reply, { kind: 'probe', probe: { kind: 'liveness', upstream: id, address } }],
  };
}

export function onProbeFinished(
  state: fleet.State,
  { probe, result }: MessageOf<'fleet.probe-finished'>,
  now: task.Instant,
): decide.Step {
  const upstream = state.registry.upstreams.get(probe.upstream);
  if (!upstream) return { state, commands: [] };
  const { reachability, registration } = upstream;
  const ageMs = now.monotonicMs - upstream.lastByteAtMs;
  const id = probe.upstream;
  switch (result.kind) {
    case 'no-response': {
      // While cut off, this says nothing of the upstream.
      if (reach.isCutOff(state)) return { state, commands: [] };
      const suspicions = quarantineSteps.onDown(state, upstream, now);
      Object.assign(upstream, { reachability: { kind: 'silent' } });
      const checked = reach.onFailure(state, upstream, reachability, now);
      if (reachability.kind === 'silent') return { state, commands: [...suspicions, ...checked] };
      return {
        state,
        commands: [
          { kind: 'record-upstream-change', id, text: 'a probe got no answer', ageMs },
          ...suspicions,
          ...checked,
          ...silenceSteps.publish(state),
        ],
      };
    }
    case 'unhealthy':
      if (result.pauseMs !== undefined) upstreams.pause(upstream, result.pauseMs, now);
      return { state, commands: reach.onByte(state, now) };
    case 'healthy': {
      const reached = reach.onByte(state, now);
      if (probe.kind === 'liveness') Object.assign(upstream, { lastByteAtMs: now.monotonicMs });
      if (probe.kind !== 'health' || reachability.kind !== 'silent') {
        return { state, commands: reached };
      }
      const coldStartMs = state.services.get(registration.service)?.coldStartMs ?? 0;
      upstreamHealth.recordRecovery(upstream, result.coldMs ?? coldStartMs, now);
      return {
        state,
        commands: [
          ...reached,
          { kind: 'record-upstream-change', id, text: 'answers again', ageMs },
          ...silenceSteps.publish(state),
        ],
      };
    }
    default:
      return results.assertNever(result);
  }
}
