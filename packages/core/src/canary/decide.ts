/**
 * Decisions of the canary task: evaluates a new version beside the old one, and, as the holder of the
 * lease, takes the steps of the release and writes the order's status.
 */
import type * as task from '../kernel/task.js';
import * as leases from '../leases/index.js';
import type * as messages from '../messages/canary.js';
import type * as platform from '../messages/platform.js';
import * as results from '../results/index.js';
import * as evidence from './evidence.js';
import * as orders from './orders.js';
import * as progress from './progress.js';
import * as records from './records.js';
import * as reports from './reports.js';
import * as sequential from './sequential.js';
import * as canaryState from './state.js';
import * as steps from './steps.js';
import type * as canary from './types.js';
import * as writing from './writing.js';

type State = canaryState.State;
type Running = canaryState.Running;
type Step = canaryState.Step;

/** Share of the time for a rollback that passes between two evaluations. */
const INTERVAL_SHARE = 0.1;
const MAX_INTERVAL_MS = 500;
/** The status is written conditionally, so a late write of an earlier holder has no effect. */
const CHECKS_FENCING = { checksFencing: true };

export function intervalMs({ bounds }: State): number {
  return Math.max(50, Math.min(MAX_INTERVAL_MS, bounds.rollbackMs * INTERVAL_SHARE));
}

export function decide(state: State, message: messages.CanaryMessage, now: task.Instant): Step {
  const step = handle(state, message, now);
  const isFirst = message.type === 'canary.orders-read' && message.isSnapshot;
  if (!isFirst && appliedText(state) === appliedText(step.state)) return step;
  const releases = releasesOf(step.state);
  return { state: step.state, commands: [...step.commands, { kind: 'apply', releases }] };
}

/** Changes whenever the fleet task has to be told. */
function appliedText({ releases }: State): string {
  return [...releases.values()]
    .map((running) => {
      const { order, step, shunned } = running;
      return `${order.service} ${order.to} ${step} ${stageOf(running)} ${shunned.join()}`;
    })
    .join('\n');
}

function handle(state: State, message: messages.CanaryMessage, now: task.Instant): Step {
  switch (message.type) {
    case 'task.start':
      return { state, commands: [{ kind: 'wake', delayMs: intervalMs(state) }] };
    case 'task.drain':
      return onLease({ ...state, isLeaving: true }, leases.release(state.lease, now));
    case 'task.stop':
      return { state, commands: [] };
    case 'platform.answered':
      return onAnswer(state, message, now);
    case 'canary.lease-tick':
      return onLease(state, leases.wake(state.lease, now));
    case 'canary.members-changed': {
      const lease = leases.standby.withMembers(state.lease, message.names);
      return { state: { ...state, lease, members: message.names }, commands: [] };
    }
    case 'canary.sharing-changed':
      return { state: { ...state, sharing: message.sharing }, commands: [] };
    case 'canary.orders-read':
      return onOrders(state, message, now);
    case 'canary.versions-reported':
      return { state: withVersions(state, message.services), commands: [] };
    case 'canary.attempt-ended':
      return { state: withSample(state, message.sample), commands: [] };
    case 'canary.update-received':
      return reports.receive(state, message.update, now);
    case 'canary.tick':
      return onTick(state, now);
    default:
      return results.assertNever(message);
  }
}

/** The releases as the fleet task applies them. */
function releasesOf(state: State): readonly canary.Release[] {
  return [...state.releases.values()].map((running): canary.Release => {
    const { order, step, shunned } = running;
    return {
      service: order.service,
      to: order.to,
      step,
      stage: stageOf(running),
      share: steps.shareAt(step, state.bounds),
      shunned,
    };
  });
}

function stageOf(running: Running): canary.Stage {
  const { isBad, isRemoved, step } = running;
  if (!canaryState.isOpen(running)) return 'closed';
  return steps.stageAt(step, isBad || isRemoved);
}

/** Tells others of a new release at once: they wait for this instance before they complete it. */
function onOrders(state: State, message: messages.OrdersRead, now: task.Instant): Step {
  const read = orders.read(state, message, now);
  const told = reports.publish(read.state, now);
  const leased = withLease(told.state, now);
  return {
    state: leased.state,
    commands: [...read.commands, ...told.commands, ...leased.commands],
  };
}

function withVersions(state: State, services: readonly canary.ServiceVersions[]): State {
  const byService = new Map(services.map((each) => [each.service, each]));
  const releases = [...state.releases].map(([name, running]): [string, Running] => {
    const versions = byService.get(running.order.service);
    return [name, versions ? { ...running, versions } : running];
  });
  return orders.forget({ ...state, releases: new Map(releases) });
}

function withSample(state: State, sample: canary.Sample): State {
  const running = [...state.releases.values()].find(
    ({ order }) => order.service === sample.service,
  );
  const { softwareVersion } = sample;
  if (!running || !canaryState.isOpen(running) || running.shunned.includes(softwareVersion)) {
    return state;
  }
  const side = softwareVersion === running.order.to ? 'next' : 'previous';
  return canaryState.withRelease(state, {
    ...running,
    toEvaluate: evidence.record(running.toEvaluate, sample, side),
    toTell: evidence.record(running.toTell, sample, side),
  });
}

function onAnswer(state: State, message: platform.PlatformAnswered, now: task.Instant): Step {
  return (
    writing.onAnswer(state, message, now) ??
    progress.onAnswer(state, message, now) ??
    onLease(state, leases.onPlatformAnswer(state.lease, message, now))
  );
}

function onLease(state: State, { state: lease, commands }: leases.Step): Step {
  return { state: { ...state, lease }, commands };
}

/** The lease is held only while a release is open, and only where all evidence is heard. */
function withLease(state: State, now: task.Instant): Step {
  const isOpen = [...state.releases.values()].some(
    (each) => canaryState.isOpen(each) && !each.isRemoved,
  );
  const isWanted = isOpen && !state.isLeaving && reports.hearsAll(state);
  const { kind } = state.lease.phase;
  if (isWanted && kind === 'idle') return onLease(state, leases.acquire(state.lease, now));
  const isHeld = kind !== 'idle' && kind !== 'releasing';
  if (!isWanted && isHeld) return onLease(state, leases.release(state.lease, now));
  return { state, commands: [] };
}

function onTick(given: State, now: task.Instant): Step {
  const evaluated = forEachOpen(given, (state, running) => evaluate(state, running, now));
  const elapsed = { ...evaluated.state, evaluatedAtMs: now.monotonicMs };
  const isHolder = leases.permit(elapsed.lease, CHECKS_FENCING, now).kind === 'granted';
  const advanced = isHolder
    ? forEachOpen(elapsed, (state, running) => advance(state, running, now))
    : { state: elapsed, commands: [] };
  const told = reports.publish(advanced.state, now);
  const leased = withLease(told.state, now);
  return {
    state: leased.state,
    commands: [
      ...evaluated.commands,
      ...advanced.commands,
      ...told.commands,
      ...leased.commands,
      { kind: 'wake', delayMs: intervalMs(given) },
    ],
  };
}

function forEachOpen(given: State, act: (state: State, running: Running) => Step): Step {
  return [...given.releases.values()].filter(canaryState.isOpen).reduce<Step>(
    ({ state, commands }, { order }) => {
      const running = state.releases.get(order.name);
      if (!running) return { state, commands };
      const step = act(state, running);
      return { state: step.state, commands: [...commands, ...step.commands] };
    },
    { state: given, commands: [] },
  );
}

/** Any instance that hears all evidence may find a version bad: in an outage of the store nobody holds the lease. */
function evaluate(state: State, given: Running, now: task.Instant): Step {
  const running = reports.withoutStale(given, now);
  const elapsedMs = Math.max(0, now.monotonicMs - state.evaluatedAtMs);
  const tests = reports.hearsAll(state)
    ? sequential.update(running.tests, running.toEvaluate, elapsedMs)
    : running.tests;
  const next: Running = { ...running, tests, toEvaluate: {} };
  const finding = sequential.find(tests);
  const isFound = finding.kind === 'bad' && !running.isBad && running.step < steps.COMPLETING_STEP;
  if (!isFound) return { state: canaryState.withRelease(state, next), commands: [] };
  const bad: Running = { ...next, isBad: true };
  const detail = `${finding.by} of ${finding.cell === '' ? 'all requests' : finding.cell}`;
  return {
    state: canaryState.withRelease(state, bad),
    commands: [records.create('releaseRolledBack', bad, detail, now)],
  };
}

/** Takes the next step if it is due, and writes what has to be written. */
function advance(state: State, running: Running, now: task.Instant): Step {
  const ages = {
    ageMs: records.ageMs(running, now),
    stepMs: now.monotonicMs - running.stepAtMs,
  };
  const finding = sequential.find(running.tests);
  const verdict = steps.judge(running.step, finding, ages, running.order.durationMs);
  const stepped = takeStep(state, running, verdict, finding, now);
  const changed = stepped.state.releases.get(running.order.name) ?? running;
  const stored = progress.write(stepped.state, changed, now);
  const unwritten = stored.state.releases.get(running.order.name) ?? changed;
  const written = writing.write(stored.state, unwritten, now);
  return {
    state: written.state,
    commands: [...stepped.commands, ...stored.commands, ...written.commands],
  };
}

function takeStep(
  state: State,
  running: Running,
  verdict: steps.Verdict,
  finding: sequential.Finding,
  now: task.Instant,
): Step {
  if (running.isBad || running.isRemoved) return { state, commands: [] };
  switch (verdict) {
    case 'wait':
      return running.step === steps.SHIFTED_STEP && reports.isSettled(state, running, now)
        ? takeStep(state, running, 'proceed', finding, now)
        : { state, commands: [] };
    case 'proceed': {
      const next = { ...running, step: running.step + 1, stepAtMs: now.monotonicMs };
      const record = records.create('releaseStep', next, finding.kind, now);
      return { state: canaryState.withRelease(state, next), commands: [record] };
    }
    case 'roll-back': {
      const next = { ...running, isBad: true };
      const record = records.create('releaseRolledBack', next, finding.kind, now);
      return { state: canaryState.withRelease(state, next), commands: [record] };
    }
    default:
      return results.assertNever(verdict);
  }
}
