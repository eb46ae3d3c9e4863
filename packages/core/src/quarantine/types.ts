/**
 * What instances tell each other and the platform about parts of prompts, and whole requests, that crash
 * upstreams. A whole request is named like a part: see `ofRequest`.
 */

/** A request that had no event yet when its upstream went down. `parts` holds those not known to be sound. */
export type Suspect = {
  /** The same for all suspects of one crash: the upstream and the start of its incarnation. */
  crash: string;
  upstream: string;
  requestId: string;
  clientAccount: string;
  model: string;
  parts: readonly string[];
  /** Whether the answer's head had come: the upstream worked on this request, and did not only hold it. */
  hadHead: boolean;
  /** Time since the crash when the update was sent; instances share no monotonic clock. */
  ageMs: number;
};

/** A counted crash as it lies in the store; `crashedAtMs` is wall clock, Unix ms. */
export type RecordedCrash = Omit<Suspect, 'ageMs'> & { crashedAtMs: number };

/** The crashes that one instance found. */
export type CrashRecord = {
  instance: string;
  version: number;
  crashes: readonly RecordedCrash[];
};

/** `conflict`: the object has this version, 0 if there is none. `lost`: it may have been written. */
export type WriteOutcome =
  { kind: 'written'; version: number } | { kind: 'conflict'; version: number } | { kind: 'lost' };

/**
 * What an answer shows to be sound: an error may have come before the parts of the prompt were read, and
 * says only that the upstream survived the request.
 */
export type Survived = 'prompt-and-request' | 'request';

export type PartOfModel = { model: string; part: string };

/** A part that reaches no upstream any more, with its evidence. */
export type Verdict = {
  model: string;
  part: string;
  /** Parts that were in all of its crashes too: only requests that hold them all are refused. */
  companions: readonly string[];
  /** Whose requests it refuses; those of all once two client accounts are named. */
  clientAccounts: readonly string[];
  crashes: readonly { upstream: string; requestId: string }[];
  /** Wall clock, Unix ms. */
  condemnedAtMs: number;
  /** Trials after which the part was let through once. */
  trials: number;
};

export type StoredVerdict = { verdict: Verdict; name: string; version: number };

export type Update = {
  from: string;
  suspects: readonly Suspect[];
  cleared: readonly PartOfModel[];
  verdicts: readonly Verdict[];
};

/** `some`: a few members, others each time, which replaces lost updates. */
export type Audience = 'all' | 'some';
