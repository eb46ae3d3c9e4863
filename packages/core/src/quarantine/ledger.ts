/** What an instance knows of parts that crash upstreams. Updated in place, since only the fleet task sees it. */
import type * as gatewayMessages from '../messages/gateway.js';
import type * as types from './types.js';

/** One of this instance's attempts in flight. */
export type Attempt = {
  requestId: string;
  upstream: string;
  /** The crash that this attempt belongs to if its upstream goes down. */
  crash: string;
  clientAccount: string;
  model: string;
  /** Those of its prompt, and the request itself. */
  parts: readonly string[];
  /** The last part of the prompt, which only requests of one session have; undefined without a prompt. */
  lastPart: string | undefined;
  /** Whether the head of the answer has come. */
  hasHead: boolean;
  hasBegun: boolean;
  isTrial: boolean;
  replyTo: gatewayMessages.RequestAddress;
};

/** An attempt that broke before its first event; it is a suspect once its upstream is found down. */
export type BrokenAttempt = { attempt: Attempt; brokeAtMs: number };

export type CountedCrash = {
  crash: string;
  upstream: string;
  requestId: string;
  clientAccount: string;
  /** All suspected parts of the request. */
  parts: readonly string[];
  atMs: number;
};

export type Tally = { model: string; part: string; crashes: readonly CountedCrash[] };

/** `claiming`: the write that gives this instance the trial is in flight. */
export type Trial =
  { kind: 'none' } | { kind: 'claiming'; sinceMs: number; trials: number } | { kind: 'granted' };

export type Quarantined = { verdict: types.Verdict; trial: Trial };

/** A verdict that the platform's store does not show yet. */
export type PendingWrite = { verdict: types.Verdict; dueAtMs: number; isSent: boolean };

/** What was learned lately and is passed on, with the monotonic time of the event. */
export type News = {
  suspects: Map<string, { suspect: types.Suspect; atMs: number }>;
  cleared: Map<string, { part: types.PartOfModel; atMs: number }>;
  /** Times of changed verdicts, by part key. */
  verdicts: Map<string, number>;
};

/** The object of the store that holds the crashes which this instance found, and its next write. */
export type Recording = {
  crashes: readonly types.RecordedCrash[];
  /** 0 if there is no object. */
  version: number;
  dueAtMs: number;
  writtenAtMs: number;
  isWriting: boolean;
};

export type Ledger = {
  instance: string;
  /** By request id. */
  attempts: Map<string, Attempt>;
  broken: readonly BrokenAttempt[];
  /** When upstreams were found down, by crash. */
  downAtMs: Map<string, number>;
  /** Times of successes by part key, oldest first. */
  clearedAtMs: Map<string, number>;
  /** By part key, least recently counted first. */
  tallies: Map<string, Tally>;
  verdicts: Map<string, Quarantined>;
  /** When verdicts were lifted, by part key. */
  lifts: Map<string, number>;
  /** Known objects of the store, by name. `isShown`: by a watch, and not only by the answer to a write. */
  stored: Map<string, { version: number; key: string; isShown: boolean }>;
  writes: Map<string, PendingWrite>;
  record: Recording;
  news: News;
  lastTickAtMs: number | undefined;
  /** When this instance last ran again after a suspension. */
  resumedAtMs: number;
};

export function create(instance: string): Ledger {
  return {
    instance,
    attempts: new Map(),
    broken: [],
    downAtMs: new Map(),
    clearedAtMs: new Map(),
    tallies: new Map(),
    verdicts: new Map(),
    lifts: new Map(),
    stored: new Map(),
    writes: new Map(),
    record: {
      crashes: [],
      version: 0,
      dueAtMs: Infinity,
      writtenAtMs: -Infinity,
      isWriting: false,
    },
    news: { suspects: new Map(), cleared: new Map(), verdicts: new Map() },
    lastTickAtMs: undefined,
    resumedAtMs: -Infinity,
  };
}

/** Moves or adds the key to the end and evicts the first entries beyond the limit. */
export function setBounded<Value>(
  entries: Map<string, Value>,
  key: string,
  value: Value,
  limit: number,
): void {
  entries.delete(key);
  entries.set(key, value);
  if (entries.size <= limit) return;
  const [oldest] = entries.keys();
  if (oldest !== undefined) entries.delete(oldest);
}

/** Deletes the entries that are at least this old. */
export function deleteOlder<Value>(
  entries: Map<string, Value>,
  atMsOf: (value: Value) => number,
  oldestMs: number,
): void {
  [...entries]
    .filter(([, value]) => atMsOf(value) <= oldestMs)
    .forEach(([key]) => entries.delete(key));
}
