/** Which instances can take a request of this one, and in which order they are asked. */
import type * as task from '../kernel/task.js';
import * as rendezvous from '../membership/rendezvous.js';

/** An instance that takes requests at the address for its callers. */
export type Peer = { name: string; dataCentre: string; address: string };

/** `cut-off`: it reaches no upstream either; `unreachable`: it takes no connection; `owing`: it owes heads. */
export type SkipReason = 'cut-off' | 'unreachable' | 'owing';

/** What this instance has seen of a peer. */
export type Standing = {
  skippedUntilMs: number;
  /** When something of it last came. */
  heardAtMs: number;
  /** A caller went away before the late head of its answer came; until then the peer counts as owing. */
  owingUntilMs: number;
  /** Whether it was found owing at the last look. */
  isOwing: boolean;
};

/** The time for which a peer that took no request is left out: what kept it from that may last. */
export const SKIP_MS = 1_000;
/**
 * A peer that owes the head of an answer for longer, and from which nothing has come since, may be frozen:
 * such a process goes on accepting connections.
 */
export const OWING_MS = 1_500;

/** The same for a request that its caller gave up: callers may have less time than that. */
const GIVEN_UP_MS = 500;

export const UNSEEN: Standing = {
  skippedUntilMs: -Infinity,
  heardAtMs: -Infinity,
  owingUntilMs: -Infinity,
  isOwing: false,
};

/** Whether the peer has been silent since requests were sent to it that still wait for their heads. */
export function isOwing(
  { heardAtMs, owingUntilMs }: Standing,
  sentAtMs: readonly number[],
  { monotonicMs }: task.Instant,
): boolean {
  if (owingUntilMs > monotonicMs) return true;
  return sentAtMs.some((each) => monotonicMs - Math.max(each, heardAtMs) > OWING_MS);
}

export function afterAnswer(standing: Standing, { monotonicMs }: task.Instant): Standing {
  return { ...standing, heardAtMs: monotonicMs, owingUntilMs: -Infinity };
}

/** A request that still waited for its head was given up. */
export function afterAbort(
  standing: Standing,
  sentAtMs: number,
  { monotonicMs }: task.Instant,
): Standing {
  const waitedMs = monotonicMs - Math.max(sentAtMs, standing.heardAtMs);
  return waitedMs > GIVEN_UP_MS ? { ...standing, owingUntilMs: monotonicMs + SKIP_MS } : standing;
}

export function afterRefusal(standing: Standing, { monotonicMs }: task.Instant): Standing {
  return { ...standing, skippedUntilMs: monotonicMs + SKIP_MS };
}

/**
 * The peer to ask first. Bytes between data centres are priced, so the own data centre's come first;
 * within one, the requests are spread.
 */
export function choose(
  requestId: string,
  ownDataCentre: string,
  candidates: readonly Peer[],
): Peer | undefined {
  const near = candidates.filter(({ dataCentre }) => dataCentre === ownDataCentre);
  const among = near.length > 0 ? near : candidates;
  const [first] = rendezvous.rank(
    requestId,
    among.map(({ name }) => name),
  );
  return among.find(({ name }) => name === first);
}
