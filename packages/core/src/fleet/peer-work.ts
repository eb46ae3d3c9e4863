/**
 * Work that peers report to have in flight at the upstreams. These are hints: a lost or late update can
 * make a placement slower, but never incorrect.
 */
import type * as task from '../kernel/task.js';

/** Work at one upstream. */
export type InFlightWork = {
  /** Prompt tokens that the upstream still has to read or fetch. */
  unreadTokens: number;
  /** Tokens of all prompts in flight, which is the KV cache that they occupy. */
  promptTokens: number;
  requests: number;
};

/** Ids of the parts of one prompt that were sent to an upstream. */
export type SentParts = { upstream: string; salt: string; parts: readonly string[] };

/**
 * Whose work an update sums up: the sender's own, that of the instances that follow the sender, or
 * that of all instances, the receiver included.
 */
export type Scope = 'own' | 'group' | 'fleet';

/** How an instance exchanges updates: directly, or by way of its group's reader. */
export type Sharing = 'with-all' | 'through-reader' | 'as-reader';

/** Scopes of the updates that count; others are still on their way from before a change. */
export const SCOPES_HEARD: Readonly<Record<Sharing, readonly Scope[]>> = {
  'with-all': ['own'],
  'through-reader': ['fleet'],
  'as-reader': ['own', 'group'],
};

export type Update = {
  from: string;
  scope: Scope;
  /** Number of instances whose work is summed up. */
  instances: number;
  /** Run of the sender's process; with `sentAtMs`, its monotonic clock, it detects reordered updates. */
  incarnation: string;
  sentAtMs: number;
  /** Whether `work` lists every upstream at which the sender has work. */
  isSnapshot: boolean;
  work: readonly { upstream: string; work: InFlightWork }[];
  sentParts: readonly SentParts[];
};

/** Latest state reported by one peer. */
export type PeerReport = {
  scope: Scope;
  instances: number;
  incarnation: string;
  sentAtMs: number;
  receivedAtMs: number;
  work: ReadonlyMap<string, InFlightWork>;
};

export type ReportsByPeer = ReadonlyMap<string, PeerReport>;

/** Peers send updates at least twice a second; after three lost updates a report is stale. */
export const STALE_AFTER_MS = 1_600;

export const NONE: InFlightWork = { unreadTokens: 0, promptTokens: 0, requests: 0 };

/** Returns the reports with the update applied, or the same map if the update is out of date. */
export function applyUpdate(
  reports: ReportsByPeer,
  update: Update,
  now: task.Instant,
): ReportsByPeer {
  const before = reports.get(update.from);
  const isLate = before?.incarnation === update.incarnation && before.sentAtMs >= update.sentAtMs;
  if (isLate) return reports;
  const kept = update.isSnapshot || before?.incarnation !== update.incarnation ? [] : before.work;
  const changed = update.work.map(({ upstream, work }) => [upstream, work] as const);
  const { incarnation, sentAtMs, scope, instances } = update;
  const report: PeerReport = {
    scope,
    instances,
    incarnation,
    sentAtMs,
    receivedAtMs: now.monotonicMs,
    work: new Map([...kept, ...changed]),
  };
  return new Map(reports).set(update.from, report);
}

/** Drops the reports of peers that have sent nothing for too long; the same map if there are none. */
export function withoutStale(reports: ReportsByPeer, now: task.Instant): ReportsByPeer {
  const fresh = [...reports].filter(
    ([, { receivedAtMs }]) => now.monotonicMs - receivedAtMs < STALE_AFTER_MS,
  );
  return fresh.length === reports.size ? reports : new Map(fresh);
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

/** Never below 0: both amounts may be of slightly different times. */
export function subtract(from: InFlightWork, part: InFlightWork): InFlightWork {
  return {
    unreadTokens: Math.max(0, from.unreadTokens - part.unreadTokens),
    promptTokens: Math.max(0, from.promptTokens - part.promptTokens),
    requests: Math.max(0, from.requests - part.requests),
  };
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

/** Total work of all peers at one upstream. */
export function totalAt(reports: ReportsByPeer, upstream: string): InFlightWork {
  return sum([...reports.values()].flatMap(({ work }) => work.get(upstream) ?? []));
}
