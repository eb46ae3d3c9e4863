/** The one place that decides whether "not run" may be said. */
import type * as messages from '../messages/index.js';
import * as results from '../results/index.js';

/** What may be told to a caller about a request that came this far on the wire. */
export function truthOf(reach: messages.Reach): results.RunTruth {
  switch (reach.kind) {
    case 'not-connected':
    case 'vouched-not-run':
      return 'not-run';
    case 'sending':
    case 'sent':
    case 'answering':
      return 'unknown';
    default:
      return results.never(reach);
  }
}

const RANKS: Readonly<Record<results.RunTruth, number>> = { 'not-run': 0, unknown: 1, ran: 2 };

/** What may be told of two attempts of one request together. */
export function truthOfBoth(one: results.RunTruth, other: results.RunTruth): results.RunTruth {
  return RANKS[one] >= RANKS[other] ? one : other;
}
