/** Steps of the fleet task that concern upstreams which peers have found silent. */
import type * as task from '../kernel/task.js';
import * as silence from '../silence/index.js';
import type * as decide from './decide.js';
import type * as fleet from './state.js';

export function onUpdate(
  state: fleet.State,
  update: silence.types.Update,
  now: task.Instant,
): readonly decide.Command[] {
  silence.sharing.receive(state, update, now);
  return [...refresh(state, now), ...publish(state)];
}

export function onTick(state: fleet.State, now: task.Instant): readonly decide.Command[] {
  return [...refresh(state, now), ...send(silence.sharing.takeUpdates(state, true))];
}

/** After a change of what this instance has found itself. */
export function publish(state: fleet.State): readonly decide.Command[] {
  return send(silence.sharing.takeUpdates(state, false));
}

function send(updates: readonly silence.types.Update[]): readonly decide.Command[] {
  return updates.map((update) => ({ kind: 'send-silence-update', update }));
}

function refresh(state: fleet.State, now: task.Instant): readonly decide.Command[] {
  return silence.judgement.refresh(state, now).map(({ upstream: id, isReported }) => {
    const lastByteAtMs = state.registry.upstreams.get(id)?.lastByteAtMs ?? now.monotonicMs;
    return {
      kind: 'record-upstream-change',
      id,
      text: isReported ? 'peers have found it silent' : 'peers find it silent no more',
      ageMs: now.monotonicMs - lastByteAtMs,
    };
  });
}
