/** Applies what operators name: evacuated data centres and the newest weights. */
import * as staleness from '../gateway/staleness.js';
import type * as task from '../kernel/task.js';
import type * as fleetMessages from '../messages/fleet.js';
import * as targets from '../rollouts/targets.js';
import type * as decide from './decide.js';
import type * as fleet from './state.js';

export function onEvacuationsChanged(
  state: fleet.State,
  {
    dataCentres,
    unchangedAt,
  }: Extract<fleetMessages.FleetMessage, { type: 'fleet.evacuations-changed' }>,
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
  {
    versions,
    namedAfter,
  }: Extract<fleetMessages.FleetMessage, { type: 'fleet.target-versions-changed' }>,
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
