/** What instances tell each other of a release, and how a release is settled by it. */
import type * as task from '../kernel/task.js';
import * as results from '../results/index.js';
import * as evidence from './evidence.js';
import * as records from './records.js';
import * as canaryState from './state.js';
import * as steps from './steps.js';
import type * as canary from './types.js';

type State = canaryState.State;
type Running = canaryState.Running;
type Command = canaryState.Command;

/** A report counts for this long; instances report twice a second, through a reader once more. */
const REPORT_LIFETIME_MS = 3_000;
/**
 * Time after the last step until instances that do not report are taken for gone. They are on the list
 * of members until they start again.
 */
const SILENT_MEMBER_MS = 10_000;
/** The same on the step after that: the members that are gone have been waited for. */
const SILENT_MEMBER_AGAIN_MS = 3_000;

const HEARD_BY: Readonly<Record<State['sharing'], readonly canary.Update['scope'][]>> = {
  'with-all': ['own'],
  'through-reader': [],
  'as-reader': ['own', 'group'],
};

/** Whether this instance gets the evidence of all others, so that it evaluates and may hold the lease. */
export function hearsAll({ sharing }: State): boolean {
  return sharing !== 'through-reader';
}

/** The update of one interval. Evidence that is told is not kept: a lost update costs time only. */
export function publish(state: State, now: task.Instant): canaryState.Step {
  const open = [...state.releases.values()].filter(canaryState.isOpen);
  if (open.length === 0) return { state, commands: [] };
  const told = open.reduce<State>(
    (next, running) => canaryState.withRelease(next, { ...running, toTell: {} }),
    state,
  );
  return { state: told, commands: updates(state, open, now) };
}

function updates(state: State, open: readonly Running[], now: task.Instant): readonly Command[] {
  const update = (scope: canary.Update['scope'], reports: readonly canary.Report[]): Command => ({
    kind: 'publish',
    scope,
    update: { from: state.instance, scope, reports },
  });
  switch (state.sharing) {
    case 'with-all':
    case 'through-reader':
      return [
        update(
          'own',
          open.map((each) => ({ ...ownReport(each, now), cells: each.toTell })),
        ),
      ];
    case 'as-reader': {
      const sums = open.map((each) => ({ each, sum: sumOf(each, ['own'], now) }));
      return [
        update(
          'group',
          sums.map(({ each, sum }) => ({ ...sum, cells: each.toTell })),
        ),
        update(
          'fleet',
          sums.map(({ sum }) => ({ ...sum, cells: {} })),
        ),
      ];
    }
    default:
      return results.assertNever(state.sharing);
  }
}

function ownReport(running: Running, now: task.Instant): Omit<canary.Report, 'cells'> {
  const { order, step, isBad, versions } = running;
  const previous = (versions?.versions ?? []).filter((each) => each.softwareVersion !== order.to);
  return {
    service: order.service,
    to: order.to,
    step,
    isBad,
    ageMs: records.ageMs(running, now),
    instances: 1,
    stepInForce: versions?.step ?? 0,
    previousInFlight: previous.reduce((sum, { inFlight }) => sum + inFlight, 0),
  };
}

function sumOf(
  running: Running,
  scopes: readonly canary.Update['scope'][],
  now: task.Instant,
): Omit<canary.Report, 'cells'> {
  const heard = [...running.heard.values()].filter(
    ({ atMs, scope }) => now.monotonicMs - atMs < REPORT_LIFETIME_MS && scopes.includes(scope),
  );
  return heard.reduce(
    (sum, { report }) => ({
      ...sum,
      instances: sum.instances + report.instances,
      stepInForce: Math.min(sum.stepInForce, report.stepInForce),
      previousInFlight: sum.previousInFlight + report.previousInFlight,
    }),
    ownReport(running, now),
  );
}

/** Applies another instance's update. Steps and verdicts only rise, in whatever order updates come. */
export function receive(state: State, update: canary.Update, now: task.Instant): canaryState.Step {
  if (update.from === state.instance) return { state, commands: [] };
  return update.reports.reduce<canaryState.Step>(
    (step, report) => {
      const running = [...step.state.releases.values()].find(
        ({ order }) => order.service === report.service && order.to === report.to,
      );
      if (!running || !canaryState.isOpen(running)) return step;
      const merged = merge(step.state, running, update, report, now);
      const commands = recordChange(running, merged, update.from, now);
      return {
        state: canaryState.withRelease(step.state, merged),
        commands: [...step.commands, ...commands],
      };
    },
    { state, commands: [] },
  );
}

function merge(
  { sharing }: State,
  running: Running,
  { from, scope }: canary.Update,
  { cells, ...report }: canary.Report,
  now: task.Instant,
): Running {
  const isHeard = HEARD_BY[sharing].includes(scope);
  const isForwarded = sharing === 'as-reader' && scope === 'own';
  const step = Math.min(steps.COMPLETING_STEP, Math.max(running.step, report.step));
  return {
    ...running,
    step,
    stepAtMs: step > running.step ? now.monotonicMs : running.stepAtMs,
    isBad: running.isBad || report.isBad,
    orderedAtMs: Math.min(running.orderedAtMs, now.monotonicMs - report.ageMs),
    heard: isHeard
      ? new Map(running.heard).set(from, { atMs: now.monotonicMs, scope, report })
      : running.heard,
    toEvaluate: isHeard ? evidence.add(running.toEvaluate, cells) : running.toEvaluate,
    toTell: isForwarded ? evidence.add(running.toTell, cells) : running.toTell,
  };
}

function recordChange(
  before: Running,
  after: Running,
  from: string,
  now: task.Instant,
): readonly Command[] {
  if (after.isBad && !before.isBad) {
    return [records.create('releaseRolledBack', after, `told by ${from}`, now)];
  }
  return after.step > before.step
    ? [records.create('releaseStep', after, `told by ${from}`, now)]
    : [];
}

/** Whether the step is in force everywhere and no instance has a request at the replaced versions. */
export function isSettled(state: State, running: Running, now: task.Instant): boolean {
  if (running.step < steps.SHIFTED_STEP) return false;
  const sum = sumOf(running, HEARD_BY[state.sharing], now);
  const isInForce = sum.stepInForce >= running.step && sum.previousInFlight === 0;
  const areAllHeard = sum.instances >= state.members.length;
  const waitMs = running.step === steps.SHIFTED_STEP ? SILENT_MEMBER_MS : SILENT_MEMBER_AGAIN_MS;
  return isInForce && (areAllHeard || now.monotonicMs - running.stepAtMs >= waitMs);
}

/** Drops reports that no longer count, so that their number is bounded by the members. */
export function withoutStale(running: Running, now: task.Instant): Running {
  const heard = [...running.heard].filter(
    ([, { atMs }]) => now.monotonicMs - atMs < REPORT_LIFETIME_MS,
  );
  return heard.length === running.heard.size ? running : { ...running, heard: new Map(heard) };
}
