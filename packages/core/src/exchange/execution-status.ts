/** The only place in the exchange that decides whether a request may be reported as "not run". */
import type * as messages from '../messages/index.js';
import * as results from '../results/index.js';

/** Returns the status after one more attempt: a request may have run if any of its attempts may. */
export function executionStatusAfter(
  before: results.ExecutionStatus,
  progress: messages.SendProgress,
): results.ExecutionStatus {
  return before === 'not-run' ? executionStatusOf(progress) : before;
}

/** Returns the status of a request whose only attempt was sent this far. */
export function executionStatusOf(progress: messages.SendProgress): results.ExecutionStatus {
  switch (progress.kind) {
    case 'not-connected':
    case 'vouched-not-run':
      return 'not-run';
    case 'sending':
    case 'sent':
    case 'responding':
      return 'unknown';
    default:
      return results.assertNever(progress);
  }
}
