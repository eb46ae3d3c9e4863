/**
 * The progress of a release in an object of the store, for the case that all instances are killed: how
 * old the order is, the last step, and a verdict that could not be written into the status yet.
 */
import * as zod from 'zod';

import type * as task from '../kernel/task.js';
import type * as platform from '../messages/platform.js';
import * as results from '../results/index.js';
import * as records from './records.js';
import * as canaryState from './state.js';
import * as steps from './steps.js';

type State = canaryState.State;
type Running = canaryState.Running;
type Step = canaryState.Step;

const MAX_EPOCH_MS = 2 ** 42;
const RETRY_MS = 1_000;

const schema = zod.object({
  to: zod.string(),
  orderedAtMs: zod.number().nonnegative().max(MAX_EPOCH_MS),
  step: zod.number().int().nonnegative().max(steps.COMPLETING_STEP),
  isBad: zod.boolean(),
});

/** The age in seconds, so that a clock's small steps cause no write. */
function valueOf(running: Running, now: task.Instant): canaryState.StoredProgress {
  const { order, step, isBad } = running;
  const orderedAtMs = now.wallMs - records.ageMs(running, now);
  return {
    to: order.to,
    orderedAtMs: Math.max(0, Math.round(orderedAtMs / 1_000) * 1_000),
    step,
    isBad,
  };
}

function textOf({ to, step, isBad }: canaryState.StoredProgress): string {
  return `${to} ${step} ${isBad}`;
}

export function isStored(running: Running, now: task.Instant): boolean {
  return running.progress.stored === textOf(valueOf(running, now));
}

/** Writes the progress if it has changed. Only the holder of the lease calls this. */
export function write(state: State, running: Running, now: task.Instant): Step {
  const { progress, order } = running;
  const value = valueOf(running, now);
  if (progress.stored === textOf(value) || now.monotonicMs < progress.writeAfterMs) {
    return { state, commands: [] };
  }
  const correlationId = `canary-progress-${state.nextId}-${textOf(value)}`;
  const writing = { ...progress, writing: correlationId, writeAfterMs: now.monotonicMs + RETRY_MS };
  const next = canaryState.withRelease(
    { ...state, nextId: state.nextId + 1 },
    { ...running, progress: writing },
  );
  return {
    state: next,
    commands: [
      {
        kind: 'write-progress',
        correlationId,
        name: order.name,
        expectedVersion: progress.version,
        value,
      },
    ],
  };
}

export function readId(name: string): string {
  return `canary-read-${name}`;
}

/** Undefined if the answer is to another kind of call. */
export function onAnswer(
  state: State,
  { correlationId, answer }: platform.PlatformAnswered,
  now: task.Instant,
): Step | undefined {
  const written = [...state.releases.values()].find(
    ({ progress }) => progress.writing === correlationId,
  );
  if (written) return { state: onWritten(state, written, answer), commands: [] };
  const read = [...state.releases.values()].find(
    ({ order }) => readId(order.name) === correlationId,
  );
  if (!read) return undefined;
  if (answer.kind === 'unavailable') {
    return { state, commands: [{ kind: 'read-progress', name: read.order.name }] };
  }
  if (answer.kind !== 'object') return { state, commands: [] };
  return { state: withStored(state, read, answer.object, now), commands: [] };
}

function onWritten(state: State, running: Running, answer: platform.PlatformAnswer): State {
  const { progress } = running;
  const stored = progress.writing?.split('-').slice(3).join('-') ?? '';
  const done = { ...progress, writing: undefined };
  switch (answer.kind) {
    case 'written':
      return withProgress(state, running, { ...done, version: answer.version, stored });
    case 'conflict':
      return withProgress(state, running, { ...done, version: answer.current?.version ?? 0 });
    case 'unavailable':
    case 'missing':
    case 'object':
      return withProgress(state, running, done);
    default:
      return results.assertNever(answer);
  }
}

function withProgress(state: State, running: Running, progress: canaryState.Progress): State {
  return canaryState.withRelease(state, { ...running, progress });
}

/** Takes over what an earlier instance stored of this release. */
function withStored(
  state: State,
  running: Running,
  object: platform.StoredObject,
  now: task.Instant,
): State {
  const found = schema.safeParse(object.value);
  const progress = { ...running.progress, version: object.version };
  if (!found.success || found.data.to !== running.order.to) {
    return withProgress(state, running, progress);
  }
  const { orderedAtMs, step, isBad } = found.data;
  const ageMs = Math.max(0, now.wallMs - orderedAtMs);
  return canaryState.withRelease(state, {
    ...running,
    progress: { ...progress, stored: textOf(found.data) },
    orderedAtMs: Math.min(running.orderedAtMs, now.monotonicMs - ageMs),
    step: Math.max(running.step, step),
    stepAtMs: now.monotonicMs,
    isBad: running.isBad || isBad,
  });
}
