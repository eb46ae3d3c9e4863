/**
 * Every numbered event of the journal. `docs/EVENTS.md` is made from this table.
 * 1xx: life of the instance; 2xx: configuration and membership; 3xx: kept context and placement;
 * 4xx: requests; 5xx: load; 6xx: orders; 7xx: platform.
 */

export type Level = 'debug' | 'info' | 'warn' | 'error';
export type EventDefinition = { number: number; level: Level; text: string };

export const catalogue = {
  instanceStarted: { number: 101, level: 'info', text: 'instance started' },
  instanceListening: { number: 104, level: 'info', text: 'instance listens' },
  instanceLeaving: { number: 102, level: 'info', text: 'instance is leaving' },
  instanceStopped: { number: 103, level: 'info', text: 'instance stopped' },
  settingsReloaded: { number: 105, level: 'info', text: 'settings reloaded' },
  linesDropped: { number: 106, level: 'warn', text: 'journal lines dropped' },
  configurationAdopted: { number: 201, level: 'info', text: 'configuration adopted' },
  configurationRefused: { number: 202, level: 'warn', text: 'configuration refused' },
  configurationConfidence: { number: 221, level: 'warn', text: 'configuration confidence changed' },
  tableAdopted: { number: 231, level: 'info', text: 'routing table adopted' },
  readinessChanged: { number: 232, level: 'info', text: 'readiness changed' },
  weightsNamed: { number: 233, level: 'info', text: 'newest weights named' },
  dataCentresEvacuated: { number: 234, level: 'info', text: 'evacuated data centres changed' },
  membersChanged: { number: 235, level: 'info', text: 'members changed' },
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
  requestPlaced: { number: 431, level: 'debug', text: 'request placed' },
  attemptFailed: { number: 432, level: 'info', text: 'attempt did not succeed' },
  requestFinished: { number: 433, level: 'info', text: 'request finished' },
  requestDenied: { number: 434, level: 'info', text: 'request denied' },
  requestRejected: { number: 435, level: 'warn', text: 'request cannot be decoded' },
  lateAnswerDropped: { number: 404, level: 'warn', text: 'late answer dropped' },
  claimRecorded: { number: 405, level: 'debug', text: 'claim recorded' },
  runResumed: { number: 406, level: 'info', text: 'run resumed' },
  claimReleased: { number: 421, level: 'debug', text: 'claim released without a run' },
  claimsSuspended: { number: 422, level: 'warn', text: 'keyed requests are refused' },
  claimsResumed: { number: 423, level: 'info', text: 'keyed requests are taken again' },
  upstreamSilent: { number: 501, level: 'warn', text: 'upstream does not report' },
  upstreamChanged: { number: 531, level: 'info', text: 'upstream changed' },
  coldRightGained: { number: 521, level: 'info', text: 'may send to a cold upstream' },
  upstreamOrder: { number: 601, level: 'info', text: 'order to an upstream' },
  leaseAcquired: { number: 602, level: 'info', text: 'lease acquired' },
  leaseLost: { number: 603, level: 'warn', text: 'lease lost' },
  contextFreed: { number: 604, level: 'info', text: 'replaced context freed' },
  dependencyLost: { number: 711, level: 'warn', text: 'dependency lost' },
  dependencyBack: { number: 712, level: 'info', text: 'dependency is back' },
  entrySkipped: { number: 713, level: 'warn', text: 'unreadable entry skipped' },
} as const satisfies Record<string, EventDefinition>;

export type EventName = keyof typeof catalogue;
