/** The one place that decides whether "not run" may be said. */
import type * as messages from '../messages/index.js';
import * as results from '../results/index.js';

/** What holds after one more attempt: a request may have run once any attempt of it may have. */
export function executionStatusAfter(
  soFar: results.ExecutionStatus,
  reach: messages.SendProgress,
): results.ExecutionStatus {
  return soFar === 'not-run' ? executionStatusOf(reach) : soFar;
}

/** What may be told to a caller about a request that came this far on the wire. */
export function executionStatusOf(reach: messages.SendProgress): results.ExecutionStatus {
  switch (reach.kind) {
    case 'not-connected':
    case 'vouched-not-run':
      return 'not-run';
    case 'sending':
    case 'sent':
    case 'responding':
      return 'unknown';
    default:
      return results.assertNever(reach);
  }
}
