/** What the lease holder writes: the order's status, and the progress for the instances that start later. */
import type * as task from '../kernel/task.js';
import type * as platform from '../messages/platform.js';
import * as results from '../results/index.js';
import * as progress from './progress.js';
import * as records from './records.js';
import * as reports from './reports.js';
import * as canaryState from './state.js';
import * as steps from './steps.js';
import type * as canary from './types.js';

type State = canaryState.State;
type Running = canaryState.Running;
type Step = canaryState.Step;

/** Time without an answer after which a write is sent again; it is conditional, so that is harmless. */
const ANSWER_TIMEOUT_MS = 4_000;
const RETRY_MS = 500;

/** The status that the order should have; undefined if it has it. */
function wanted(state: State, running: Running, now: task.Instant): canary.OrderState | undefined {
  const { order, step, isBad, isRemoved } = running;
  if (isRemoved || !canaryState.isOpen(running)) return undefined;
  if (isBad && step < steps.COMPLETING_STEP) return 'rolled_back';
  // The step is stored first: instances that start after a kill of all go to the new version only.
  const isComplete =
    step === steps.COMPLETING_STEP &&
    progress.isStored(running, now) &&
    reports.isSettled(state, running, now);
  if (isComplete) return 'completed';
  return order.status === undefined ? 'running' : undefined;
}

/** Sends the write that is due, if any. Only the holder of the lease calls this. */
export function write(state: State, running: Running, now: task.Instant): Step {
  const next = wanted(state, running, now);
  const { writing, order } = running;
  const isUnderWay = writing && now.monotonicMs - writing.sentAtMs < ANSWER_TIMEOUT_MS;
  if (!next || isUnderWay || now.monotonicMs < running.writeAfterMs) {
    return { state, commands: [] };
  }
  const correlationId = `canary-status-${state.nextId}`;
  const sent: Running = {
    ...running,
    writing: { correlationId, state: next, sentAtMs: now.monotonicMs },
  };
  return {
    state: canaryState.withRelease({ ...state, nextId: state.nextId + 1 }, sent),
    commands: [
      {
        kind: 'write-status',
        correlationId,
        name: order.name,
        expectedVersion: order.version,
        status: { state: next, to: order.to },
      },
    ],
  };
}

/** Undefined if the answer is to another kind of call. */
export function onAnswer(
  state: State,
  { correlationId, answer }: platform.PlatformAnswered,
  now: task.Instant,
): Step | undefined {
  const running = [...state.releases.values()].find(
    ({ writing }) => writing?.correlationId === correlationId,
  );
  if (!running?.writing) return undefined;
  const { state: written } = running.writing;
  const answered: Running = {
    ...running,
    writing: undefined,
    writeAfterMs: now.monotonicMs + RETRY_MS,
  };
  switch (answer.kind) {
    case 'written': {
      const status = { state: written, to: running.order.to };
      // The watch brings the status too, and closes the release.
      const order = written === 'running' ? { ...running.order, status } : running.order;
      const next = { ...answered, order: { ...order, version: answer.version } };
      return {
        state: canaryState.withRelease(state, next),
        commands: [records.create('releaseWritten', next, `wrote ${written}`, now)],
      };
    }
    case 'conflict':
    case 'unavailable':
    case 'missing':
    case 'object':
      // The watch tells of the object's newest version, with which the next attempt is made.
      return {
        state: canaryState.withRelease(state, answered),
        commands: [
          records.create('releaseWritten', answered, `${written} failed: ${answer.kind}`, now),
        ],
      };
    default:
      return results.assertNever(answer);
  }
}
