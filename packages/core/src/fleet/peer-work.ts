/**
 * What other instances have under way at the upstreams, as they tell it. These are hints: a lost or
 * late note makes a placement worse, never wrong.
 */
import type * as task from '../kernel/task.js';

/** Work at one upstream. */
export type InFlightWork = {
  /** Tokens of prompts that the upstream still has to read or to fetch. */
  unreadTokens: number;
  /** Tokens of all prompts under way: the memory that they take. */
  promptTokens: number;
  requests: number;
};

/** Parts of one prompt that were sent to an upstream. */
export type SentParts = { upstream: string; salt: string; parts: readonly string[] };

export type Update = {
  from: string;
  /** The life of the sender, and its monotonic clock: notes may overtake each other. */
  incarnation: string;
  sentAtMs: number;
  /** Whether `work` names every upstream at which the sender has work. */
  isSnapshot: boolean;
  work: readonly { upstream: string; work: InFlightWork }[];
  sentParts: readonly SentParts[];
};

/** What one peer told last. */
export type PeerReport = {
  incarnation: string;
  sentAtMs: number;
  receivedAtMs: number;
  work: ReadonlyMap<string, InFlightWork>;
};

export type ReportsByPeer = ReadonlyMap<string, PeerReport>;

/** A peer tells at least twice a second; after three lost notes its figures are worth nothing. */
export const STALE_AFTER_MS = 1_600;

export const NONE: InFlightWork = { unreadTokens: 0, promptTokens: 0, requests: 0 };

/** The peers' work after a note; the same map if the note is older than what is known. */
export function applyUpdate(known: ReportsByPeer, note: Update, now: task.Instant): ReportsByPeer {
  const before = known.get(note.from);
  const isLate = before?.incarnation === note.incarnation && before.sentAtMs >= note.sentAtMs;
  if (isLate) return known;
  const kept = note.isSnapshot || before?.incarnation !== note.incarnation ? [] : before.work;
  const news = note.work.map(({ upstream, work }) => [upstream, work] as const);
  const { incarnation, sentAtMs } = note;
  const told: PeerReport = {
    incarnation,
    sentAtMs,
    receivedAtMs: now.monotonicMs,
    work: new Map([...kept, ...news]),
  };
  return new Map(known).set(note.from, told);
}

/** Without peers that have been silent for too long. */
export function withoutStale(known: ReportsByPeer, now: task.Instant): ReportsByPeer {
  const heard = [...known].filter(
    ([, { receivedAtMs }]) => now.monotonicMs - receivedAtMs < STALE_AFTER_MS,
  );
  return heard.length === known.size ? known : new Map(heard);
}

export function sum(works: readonly InFlightWork[]): InFlightWork {
  return works.reduce(
    (total, { unreadTokens, promptTokens, requests }) => ({
      unreadTokens: total.unreadTokens + unreadTokens,
      promptTokens: total.promptTokens + promptTokens,
      requests: total.requests + requests,
    }),
    NONE,
  );
}

export function scale(
  { unreadTokens, promptTokens, requests }: InFlightWork,
  factor: number,
): InFlightWork {
  return {
    unreadTokens: unreadTokens * factor,
    promptTokens: promptTokens * factor,
    requests: requests * factor,
  };
}

/** The work of all peers at one upstream. */
export function totalAt(known: ReportsByPeer, upstream: string): InFlightWork {
  return sum([...known.values()].flatMap(({ work }) => work.get(upstream) ?? []));
}
