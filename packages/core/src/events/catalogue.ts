/**
 * Every numbered event of the journal. `docs/EVENTS.md` is made from this table.
 * 1xx: life of the instance; 2xx: configuration and membership; 3xx: kept context and placement;
 * 4xx: requests; 5xx: load; 6xx: orders; 7xx: platform.
 */

export type Level = 'debug' | 'info' | 'warn' | 'error';
export type Entry = { number: number; level: Level; text: string };

export const catalogue = {
  instanceStarted: { number: 101, level: 'info', text: 'instance started' },
  instanceListening: { number: 104, level: 'info', text: 'instance listens' },
  instanceLeaving: { number: 102, level: 'info', text: 'instance is leaving' },
  instanceStopped: { number: 103, level: 'info', text: 'instance stopped' },
  configurationAdopted: { number: 201, level: 'info', text: 'configuration adopted' },
  configurationRefused: { number: 202, level: 'warn', text: 'configuration refused' },
  configurationConfidence: { number: 221, level: 'warn', text: 'configuration confidence changed' },
  membershipChanged: { number: 203, level: 'info', text: 'membership changed' },
  promptPlaced: { number: 301, level: 'info', text: 'prompt placed' },
  piecesExported: { number: 302, level: 'info', text: 'pieces exported' },
  piecesImported: { number: 303, level: 'info', text: 'pieces imported' },
  unsafeRead: { number: 304, level: 'warn', text: 'stored piece failed its checks' },
  hintCorrected: { number: 305, level: 'debug', text: 'cache hint corrected' },
  importCancelled: { number: 321, level: 'info', text: 'late import cancelled' },
  requestAccepted: { number: 401, level: 'debug', text: 'request accepted' },
  requestEnded: { number: 402, level: 'info', text: 'request ended' },
  requestRefused: { number: 403, level: 'info', text: 'request refused' },
  lateAnswerDropped: { number: 404, level: 'warn', text: 'late answer dropped' },
  claimRecorded: { number: 405, level: 'debug', text: 'claim recorded' },
  runResumed: { number: 406, level: 'info', text: 'run resumed' },
  claimReleased: { number: 421, level: 'debug', text: 'claim released without a run' },
  claimsSuspended: { number: 422, level: 'warn', text: 'keyed requests are refused' },
  claimsResumed: { number: 423, level: 'info', text: 'keyed requests are taken again' },
  upstreamSilent: { number: 501, level: 'warn', text: 'upstream does not report' },
  coldRightGained: { number: 521, level: 'info', text: 'may send to a cold upstream' },
  platformUnavailable: { number: 701, level: 'warn', text: 'platform unavailable' },
  platformBack: { number: 702, level: 'info', text: 'platform is back' },
} as const satisfies Record<string, Entry>;

export type EventName = keyof typeof catalogue;
