/** Steps of the fleet task that apply what operators have written to the platform's store. */
import * as staleness from '../gateway/staleness.js';
import type * as task from '../kernel/task.js';
import type * as fleetMessages from '../messages/fleet.js';
import * as targets from '../rollouts/targets.js';
import type * as decide from './decide.js';
import type * as fleet from './state.js';

type MessageOf<Type extends fleetMessages.FleetMessage['type']> = Extract<
  fleetMessages.FleetMessage,
  { type: Type }
>;

export function onEvacuationsChanged(
  state: fleet.State,
  { dataCentres, unchangedAt }: MessageOf<'fleet.evacuations-changed'>,
  now: task.Instant,
): decide.Step {
  const unseenMs = unchangedAt ? staleness.ageMs(unchangedAt, now) : Infinity;
  return {
    state: { ...state, evacuatedDataCentres: new Set(dataCentres) },
    commands: [{ kind: 'record-evacuation', dataCentres, unseenMs }],
  };
}

export function onTargetVersionsChanged(
  state: fleet.State,
  { versions, namedAfter }: MessageOf<'fleet.target-versions-changed'>,
  now: task.Instant,
): decide.Step {
  const targetVersions = targets.update(state.targetVersions, versions, namedAfter);
  return {
    state: { ...state, targetVersions },
    commands: [
      { kind: 'record-target-versions', versions, unseenMs: staleness.ageMs(namedAfter, now) },
    ],
  };
}
