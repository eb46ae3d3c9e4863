/**
 * What other instances have under way at the upstreams, as they tell it. These are hints: a lost or
 * late note makes a placement worse, never wrong.
 */
import type * as task from '../kernel/task.js';

/** Work at one upstream. */
export type Work = {
  /** Tokens of prompts that the upstream still has to read or to fetch. */
  unreadTokens: number;
  /** Tokens of all prompts under way: the memory that they take. */
  promptTokens: number;
  requests: number;
};

/** Parts of one prompt that were sent to an upstream. */
export type SentParts = { upstream: string; salt: string; parts: readonly string[] };

export type Note = {
  from: string;
  /** The life of the sender, and its monotonic clock: notes may overtake each other. */
  life: string;
  sentAtMs: number;
  /** Whether `work` names every upstream at which the sender has work. */
  isWhole: boolean;
  work: readonly { upstream: string; work: Work }[];
  sent: readonly SentParts[];
};

/** What one peer told last. */
export type Told = {
  life: string;
  sentAtMs: number;
  heardAtMs: number;
  work: ReadonlyMap<string, Work>;
};

export type PeerWork = ReadonlyMap<string, Told>;

/** A peer tells at least twice a second; after three lost notes its figures are worth nothing. */
export const PEER_SILENCE_MS = 1_600;

export const NONE: Work = { unreadTokens: 0, promptTokens: 0, requests: 0 };

/** The peers' work after a note; the same map if the note is older than what is known. */
export function take(known: PeerWork, note: Note, now: task.Instant): PeerWork {
  const before = known.get(note.from);
  const isLate = before?.life === note.life && before.sentAtMs >= note.sentAtMs;
  if (isLate) return known;
  const kept = note.isWhole || before?.life !== note.life ? [] : before.work;
  const news = note.work.map(({ upstream, work }) => [upstream, work] as const);
  const { life, sentAtMs } = note;
  const told: Told = {
    life,
    sentAtMs,
    heardAtMs: now.monotonicMs,
    work: new Map([...kept, ...news]),
  };
  return new Map(known).set(note.from, told);
}

/** Without peers that have been silent for too long. */
export function withoutSilent(known: PeerWork, now: task.Instant): PeerWork {
  const heard = [...known].filter(
    ([, { heardAtMs }]) => now.monotonicMs - heardAtMs < PEER_SILENCE_MS,
  );
  return heard.length === known.size ? known : new Map(heard);
}

export function sum(works: readonly Work[]): Work {
  return works.reduce(
    (total, { unreadTokens, promptTokens, requests }) => ({
      unreadTokens: total.unreadTokens + unreadTokens,
      promptTokens: total.promptTokens + promptTokens,
      requests: total.requests + requests,
    }),
    NONE,
  );
}

export function times({ unreadTokens, promptTokens, requests }: Work, factor: number): Work {
  return {
    unreadTokens: unreadTokens * factor,
    promptTokens: promptTokens * factor,
    requests: requests * factor,
  };
}

/** The work of all peers at one upstream. */
export function at(known: PeerWork, upstream: string): Work {
  return sum([...known.values()].flatMap(({ work }) => work.get(upstream) ?? []));
}
