/** Journal events of a release, with the evidence and its age. */
import type * as task from '../kernel/task.js';
import type * as canaryState from './state.js';

type Command = Extract<canaryState.Command, { kind: 'record' }>;

export function create(
  event: Command['event'],
  running: canaryState.Running,
  detail: string,
  now: task.Instant,
): Command {
  return { kind: 'record', event, running, detail, ageMs: ageMs(running, now) };
}

/** Age of the order, as far as any instance knows. */
export function ageMs({ orderedAtMs }: canaryState.Running, now: task.Instant): number {
  return Math.max(0, now.monotonicMs - orderedAtMs);
}
