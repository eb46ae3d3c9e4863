/**
 * Watches of an instance for which another one reads. They make no calls of their own, except to catch
 * up on changes that the reader knows of and that did not arrive here.
 */
import * as staleness from '../gateway/staleness.js';
import type * as task from '../kernel/task.js';
import type * as readers from '../messages/readers.js';
import * as significant from './significant.js';
import * as updates from './updates.js';
import * as watches from './watches.js';

/** Starts or ends the instance's own calls. A listing that has begun goes on. */
export function setRelayed(
  state: watches.State,
  isRelayed: boolean,
  now: task.Instant,
): watches.Step {
  if (state.isRelayed === isRelayed) return { state, commands: [] };
  if (isRelayed) return { state: { ...state, isRelayed }, commands: [] };
  return [...state.watches.values()]
    .filter(({ position }) => position.kind === 'watching')
    .reduce<watches.Step>(
      (step, watch) => {
        // A new run: an answer to a call from before is dropped.
        const resumed = watches.withSendTime(
          { ...watch, run: step.state.nextRun },
          now,
          firstWaitMs(watch, now),
        );
        const next = { ...step.state, nextRun: step.state.nextRun + 1 };
        return {
          state: watches.withWatch(next, { ...resumed, isCatchingUp: false }),
          commands: [...step.commands, watches.fetchCommand(resumed)],
        };
      },
      { state: { ...state, isRelayed }, commands: [] },
    );
}

/**
 * The first call of an instance that reads for itself does not wait for changes if what it knows would be
 * too old at the end of the wait: its reader may have been lost for a while.
 */
function firstWaitMs({ pace, confirmedAt }: watches.Watch, now: task.Instant): number {
  const { waitMs, limitMs = 0 } = pace;
  const ageAtEndMs = staleness.ageMs(confirmedAt, now) + waitMs;
  return ageAtEndMs <= limitMs ? waitMs : watches.WITHOUT_WAIT_MS;
}

/** Applies what the reader knows: confirms the own position, or catches up with it. */
export function onPositions(
  state: watches.State,
  positions: readonly readers.WatchPosition[],
  now: task.Instant,
): watches.Step {
  if (!state.isRelayed) return { state, commands: [] };
  const applied = positions.reduce<watches.Step>(
    (step, position) => {
      const watch = step.state.watches.get(position.objectKind);
      if (watch?.position.kind !== 'watching') return step;
      const next =
        watch.position.revision >= position.changedAt
          ? confirm(step.state, watch, position)
          : catchUp(step.state, watch, now);
      return { state: next.state, commands: [...step.commands, ...next.commands] };
    },
    { state, commands: [] },
  );
  return askWhereOld(applied, now);
}

/** A reader can be in touch and yet not follow one kind, so each kind's own age counts. */
function askWhereOld(step: watches.Step, now: task.Instant): watches.Step {
  return [...step.state.watches.values()].reduce<watches.Step>((before, watch) => {
    const { limitMs = Infinity } = watch.pace;
    const isOld = staleness.ageMs(watch.confirmedAt, now) > limitMs;
    if (!isOld || watch.position.kind !== 'watching') return before;
    const asked = catchUp(before.state, watch, now);
    return { state: asked.state, commands: [...before.commands, ...asked.commands] };
  }, step);
}

function confirm(
  state: watches.State,
  watch: watches.Watch,
  { revision, changedAt, askedAt }: readers.WatchPosition,
): watches.Step {
  const { position } = watch;
  if (position.kind !== 'watching' || askedAt.monotonicMs <= watch.confirmedAt.monotonicMs) {
    return { state, commands: [] };
  }
  const confirmed: watches.Watch = {
    ...watch,
    failures: 0,
    confirmedAt: askedAt,
    unchangedAt: askedAt,
    changedAt: Math.max(watch.changedAt, changedAt),
    position: { ...position, revision: Math.max(position.revision, revision) },
  };
  const { unchangedAt } = watch;
  const update = { objects: [], removed: [], isSnapshot: false, askedAt, unchangedAt };
  return {
    state: watches.withWatch(state, confirmed),
    commands: [
      ...updates.toCommands(confirmed, update),
      ...watches.positionCommands(confirmed, askedAt),
    ],
  };
}

/** Applies changes that the reader has read, if none is missing before them. */
export function onChanges(
  state: watches.State,
  { objectKind, since, revision, objects, removed }: readers.WatchChanges,
  now: task.Instant,
): watches.Step {
  const watch = state.watches.get(objectKind);
  if (!state.isRelayed || watch?.position.kind !== 'watching') return { state, commands: [] };
  const { position } = watch;
  if (revision <= position.revision) return { state, commands: [] };
  if (since > position.revision) return catchUp(state, watch, now);
  const { known } = significant.select(watch.pace, watch.known, objects, removed);
  const applied: watches.Watch = {
    ...watch,
    known,
    changedAt: revision,
    position: { ...position, revision },
  };
  // The changes say nothing about what came after them, so they confirm nothing.
  const { confirmedAt: askedAt, unchangedAt } = watch;
  const update = { objects, removed, isSnapshot: false, askedAt, unchangedAt };
  return {
    state: watches.withWatch(state, applied),
    commands: updates.toCommands(applied, update),
  };
}

function catchUp(state: watches.State, watch: watches.Watch, now: task.Instant): watches.Step {
  const { catchUpPauseMs = 0 } = watch.pace;
  const isTooEarly = now.monotonicMs - watch.caughtUpAtMs < catchUpPauseMs;
  if (watch.isCatchingUp || isTooEarly) return { state, commands: [] };
  const asking = watches.withSendTime(
    { ...watch, run: state.nextRun, isCatchingUp: true, caughtUpAtMs: now.monotonicMs },
    now,
    watches.WITHOUT_WAIT_MS,
  );
  return {
    state: watches.withWatch({ ...state, nextRun: state.nextRun + 1 }, asking),
    commands: [watches.fetchCommand(asking)],
  };
}
