/**
 * The decision that all metrics tasks share, whatever their destination: counts and forwards
 * measurements.
 */
import type * as task from '../kernel/task.js';
import type * as messages from '../messages/journal.js';
import type * as taskLifecycle from '../messages/task-lifecycle.js';
import * as results from '../results/index.js';

export type State = { updates: number };
/** One measurement of a metric. */
export type Measurement = Exclude<messages.MetricsMessage, taskLifecycle.LifecycleMessage>;
export type Command = Measurement | { type: 'metrics.close' };

export const initial: State = { updates: 0 };

export function decide(state: State, message: messages.MetricsMessage): task.Step<State, Command> {
  switch (message.type) {
    case 'task.start':
    case 'task.drain':
      return { state, commands: [] };
    case 'task.stop':
      return { state, commands: [{ type: 'metrics.close' }] };
    case 'metrics.count':
    case 'metrics.timing':
    case 'metrics.gauge':
      return { state: { updates: state.updates + 1 }, commands: [message] };
    default:
      return results.assertNever(message);
  }
}
