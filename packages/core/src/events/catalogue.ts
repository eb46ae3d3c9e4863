/**
 * The table of all journal events, from which `docs/EVENTS.md` is generated.
 * 1xx: instance lifecycle; 2xx: configuration and membership; 3xx: kept context and placement;
 * 4xx: requests; 5xx: load; 6xx: orders; 7xx: platform.
 */

export type Level = 'debug' | 'info' | 'warn' | 'error';
export type EventDefinition = { number: number; level: Level; text: string };

export const catalogue = {
  instanceStarted: { number: 101, level: 'info', text: 'instance started' },
  instanceListening: { number: 104, level: 'info', text: 'instance is listening' },
  instanceLeaving: { number: 102, level: 'info', text: 'instance is draining' },
  graceEnded: { number: 107, level: 'warn', text: 'connections cut at the end of the grace' },
  instanceStopped: { number: 103, level: 'info', text: 'instance stopped' },
  instanceFailed: { number: 108, level: 'error', text: 'instance ended; a task failed' },
  settingsReloaded: { number: 105, level: 'info', text: 'settings reload requested' },
  linesDropped: {
    number: 106,
    level: 'warn',
    text: 'journal lines dropped; output buffer was full',
  },
  configurationAdopted: { number: 201, level: 'info', text: 'configuration adopted' },
  configurationRefused: { number: 202, level: 'warn', text: 'configuration rejected' },
  configurationConfidence: {
    number: 221,
    level: 'warn',
    text: 'configuration confirmation status changed',
  },
  tableAdopted: { number: 231, level: 'info', text: 'routing table adopted' },
  readinessChanged: { number: 232, level: 'info', text: 'readiness changed' },
  weightsNamed: { number: 233, level: 'info', text: 'newest weight versions changed' },
  dataCentresEvacuated: {
    number: 234,
    level: 'info',
    text: 'list of evacuated data centres changed',
  },
  membersChanged: { number: 235, level: 'info', text: 'list of members changed' },
  readerChanged: {
    number: 236,
    level: 'info',
    text: 'instance that reads the platform for this one changed',
  },
  membershipChanged: { number: 203, level: 'info', text: 'membership changed' },
  promptPlaced: { number: 301, level: 'info', text: 'prompt placed' },
  piecesExported: { number: 302, level: 'info', text: 'pieces exported' },
  piecesImported: { number: 303, level: 'info', text: 'pieces imported' },
  unsafeRead: { number: 304, level: 'warn', text: 'stored piece failed the safe read checks' },
  hintCorrected: { number: 305, level: 'debug', text: 'cache directory corrected' },
  importCancelled: {
    number: 321,
    level: 'info',
    text: 'import cancelled',
  },
  requestAccepted: { number: 401, level: 'debug', text: 'request accepted' },
  requestEnded: { number: 402, level: 'info', text: 'request ended' },
  requestRefused: { number: 403, level: 'info', text: 'request refused' },
  requestPlaced: { number: 431, level: 'debug', text: 'placement of a request decided' },
  attemptFailed: { number: 432, level: 'info', text: 'attempt failed' },
  requestFinished: { number: 433, level: 'info', text: 'request finished' },
  streamOrigin: {
    number: 437,
    level: 'info',
    text: 'software version that began a resumed stream looked up',
  },
  softwareVersions: {
    number: 533,
    level: 'info',
    text: 'software versions of a service whose streams may be taken up',
  },
  requestDenied: { number: 434, level: 'info', text: 'request refused by access checks' },
  requestRejected: { number: 435, level: 'warn', text: 'malformed request rejected' },
  connectionRefused: {
    number: 436,
    level: 'warn',
    text: 'connection of a caller ended without a request',
  },
  connectionsDropped: {
    number: 438,
    level: 'warn',
    text: 'connections of clients dropped for want of memory or connections',
  },
  relaySkipped: {
    number: 439,
    level: 'info',
    text: 'instance left out for a while as one to send requests through',
  },
  lateAnswerDropped: { number: 404, level: 'warn', text: 'stale or duplicate message dropped' },
  claimRecorded: { number: 405, level: 'debug', text: 'claim recorded' },
  runResumed: { number: 406, level: 'info', text: 'run resumed' },
  claimReleased: { number: 421, level: 'debug', text: 'claim released; the request was not sent' },
  claimsSuspended: {
    number: 422,
    level: 'warn',
    text: 'claims suspended; requests with an idempotency key are refused',
  },
  claimsResumed: {
    number: 423,
    level: 'info',
    text: 'claims resumed; requests with an idempotency key are accepted',
  },
  upstreamSilent: { number: 501, level: 'warn', text: 'upstream’s stream of reports was lost' },
  reachChanged: {
    number: 534,
    level: 'warn',
    text: 'instance reaches no upstream, or reaches one again',
  },
  upstreamChanged: { number: 531, level: 'info', text: 'upstream state changed' },
  coldRightGained: {
    number: 521,
    level: 'info',
    text: 'right to send to a cold upstream acquired',
  },
  crashSuspected: {
    number: 541,
    level: 'warn',
    text: 'requests without an event suspected of an upstream’s crash',
  },
  partCondemned: { number: 542, level: 'warn', text: 'request or prompt part quarantined' },
  verdictLifted: {
    number: 543,
    level: 'info',
    text: 'quarantine of a request or prompt part lifted',
  },
  trialStarted: { number: 544, level: 'info', text: 'quarantined part let through once' },
  crashesRestored: {
    number: 545,
    level: 'info',
    text: 'crashes counted before the start taken from the platform’s store',
  },
  loadRefused: { number: 551, level: 'info', text: 'request refused for load' },
  requestWaited: { number: 552, level: 'debug', text: 'request waited for a place' },
  accountsAboveShare: {
    number: 553,
    level: 'info',
    text: 'client accounts above their fair share while requests are refused',
  },
  upstreamOrder: { number: 601, level: 'info', text: 'order to an upstream sent or answered' },
  leaseAcquired: { number: 602, level: 'info', text: 'lease acquired' },
  leaseLost: { number: 603, level: 'warn', text: 'lease lost' },
  contextFreed: { number: 604, level: 'info', text: 'context of replaced weights freed' },
  dependencyLost: { number: 711, level: 'warn', text: 'dependency unavailable' },
  dependencyBack: { number: 712, level: 'info', text: 'dependency available again' },
  storeRestored: {
    number: 714,
    level: 'warn',
    text: 'platform’s store came back from an earlier copy',
  },
  releaseOrdered: { number: 721, level: 'info', text: 'canary release ordered' },
  releaseStep: { number: 722, level: 'info', text: 'canary release took a step' },
  releaseRolledBack: { number: 723, level: 'warn', text: 'canary release found bad' },
  releaseWritten: {
    number: 724,
    level: 'info',
    text: 'status of a canary release written or read',
  },
  releaseEnded: { number: 725, level: 'info', text: 'canary release ended' },
  historyLost: {
    number: 715,
    level: 'info',
    text: 'platform’s store dropped the history behind a watch; the kind is listed again',
  },
  historyRegained: {
    number: 716,
    level: 'info',
    text: 'watch of a kind goes on after listings',
  },
  listingBehind: {
    number: 717,
    level: 'warn',
    text: 'listing of the platform is behind what is known, and is not used',
  },
  entrySkipped: { number: 713, level: 'warn', text: 'malformed platform entry skipped' },
} as const satisfies Record<string, EventDefinition>;

export type EventName = keyof typeof catalogue;
