/** What is known of the software version that began a stream. */

/**
 * `own`: this instance began it, or took it up. `recorded`: an instance wrote it into the platform's store.
 * `only-version`: no other version of the service has served for as long as a stream can live.
 */
export type Evidence = 'own' | 'recorded' | 'only-version';

/** `several-versions`: instances wrote different ones. */
export type Gap = 'not-recorded' | 'several-versions' | 'store-unavailable' | 'list-outdated';

export type Origin =
  | { kind: 'known'; version: string; evidence: Evidence }
  /** The stream may have begun at a version that does not fit any other: it must not go on. */
  | { kind: 'unknown'; gap: Gap };

/** What the instance knew as it answered, for the journal. */
export type Basis = {
  /** Time since the list of upstreams was last confirmed; undefined before the first list. */
  listAgeMs: number | undefined;
  /** Whether a reading of the records of all instances that began after the caller came was answered. */
  hasReadRecords: boolean;
  /** The versions of the service at which streams may have begun. */
  versions: readonly string[];
};
