/** What an instance knows of one upstream. Updated in place: only the fleet's task sees it. */
import type * as task from '../kernel/task.js';
import * as holdings from '../shared-context/holdings.js';
import * as peerWork from './peer-work.js';

export type ModelVersion = { model: string; version: number };

/** An upstream as the platform's list shows it. */
export type Listed = {
  id: string;
  service: string;
  address: string;
  dataCentre: string;
  slots: number;
  presence: 'ready' | 'draining';
  coldRemainingMs: number;
  models: readonly ModelVersion[];
  /** Start of this incarnation; another value under the same id is another incarnation. */
  bornMs: number | undefined;
};

export type Load = { running: number; waiting: number; slots: number };

/**
 * `listed`: on the platform's list. `missing`: fell off the list while the platform was away, and may
 * be back in a moment. `gone`: never used again in this incarnation.
 */
export type Standing =
  | { kind: 'listed' }
  | { kind: 'missing'; sinceMs: number }
  | { kind: 'draining' }
  | { kind: 'gone'; sinceMs: number };

/** Whether the upstream answers at all. */
export type Reach =
  | { kind: 'answers' }
  /** Connections fail or nothing comes back; probed until something does. */
  | { kind: 'silent' };

export type Upstream = {
  listed: Listed;
  standing: Standing;
  reach: Reach;
  /** Until when it counts as cold. */
  coldUntilMs: number;
  /** When this instance may next send to it while it is cold. */
  nextColdSendMs: number;
  versions: Map<string, number>;
  /** Own attempts under way, by request. */
  underWay: Map<string, Work>;
  /** Work of other instances, as far as they told. */
  peerWork: peerWork.Work;
  load: Load | undefined;
  /** When a byte last came from it. */
  heardAtMs: number;
  /** Faults of late, halved with time. */
  faults: number;
  faultsAtMs: number;
  /** Smoothed time to its first byte. */
  latencyMs: number | undefined;
  /** Parts that were sent to it, with the time; it may still have them. */
  recentParts: Map<string, number>;
  /** It rejected work: passed over until then. */
  busyUntilMs: number;
};

/** An own attempt under way. */
export type Work = {
  startedAtMs: number;
  /** Tokens that the upstream has to read or to fetch for it. */
  tokens: number;
  promptTokens: number;
  /** Tokens that the upstream had to read before its first event, these included. */
  aheadTokens: number;
  isAnswered: boolean;
};

export function fromList(listed: Listed, now: task.Instant): Upstream {
  return {
    listed,
    standing: standingOf(listed),
    reach: { kind: 'answers' },
    coldUntilMs: now.monotonicMs + listed.coldRemainingMs,
    nextColdSendMs: 0,
    versions: new Map(listed.models.map(({ model, version }) => [model, version])),
    underWay: new Map(),
    peerWork: peerWork.NONE,
    load: undefined,
    heardAtMs: now.monotonicMs,
    faults: 0,
    faultsAtMs: now.monotonicMs,
    latencyMs: undefined,
    recentParts: new Map(),
    busyUntilMs: 0,
  };
}

function standingOf({ presence }: Listed): Standing {
  return presence === 'draining' ? { kind: 'draining' } : { kind: 'listed' };
}

/** Another incarnation under the same id holds and knows nothing of the one before. */
export function isReborn(known: Upstream, listed: Listed): boolean {
  const { bornMs, address } = known.listed;
  const hasNewStart = bornMs !== undefined && listed.bornMs !== undefined && listed.bornMs > bornMs;
  return hasNewStart || listed.address !== address;
}

/** A change of the list for an upstream that is known. One that drains stays away in this incarnation. */
export function update(known: Upstream, listed: Listed, now: task.Instant): void {
  if (known.standing.kind === 'gone' && listed.presence === 'ready') askForProof(known);
  Object.assign(known, {
    listed,
    standing: known.standing.kind === 'draining' ? known.standing : standingOf(listed),
    coldUntilMs:
      listed.coldRemainingMs > 0 ? now.monotonicMs + listed.coldRemainingMs : known.coldUntilMs,
  });
  listed.models.forEach(({ model, version }) => noteVersion(known, model, version));
}

/** An entry that comes back may be a late write of one that left: a probe has to succeed first. */
function askForProof(known: Upstream): void {
  Object.assign(known, { reach: { kind: 'silent' } });
}

/** Versions only grow; a list that lags does not take one back. */
export function noteVersion(known: Upstream, model: string, version: number): void {
  if (version <= (known.versions.get(model) ?? 0)) return;
  known.versions.set(model, version);
  known.recentParts.clear();
}

/** Parts that were just sent there, the newest last: the oldest are forgotten first. */
export function noteParts(
  { recentParts }: Upstream,
  salt: string,
  parts: readonly string[],
  now: task.Instant,
): void {
  parts.forEach((part) => {
    const key = holdings.partKey(salt, part);
    recentParts.delete(key);
    recentParts.set(key, now.monotonicMs);
  });
}

const FAULT_HALF_LIFE_MS = 2_000;

export function faultsNow({ faults, faultsAtMs }: Upstream, nowMs: number): number {
  return faults * 0.5 ** (Math.max(0, nowMs - faultsAtMs) / FAULT_HALF_LIFE_MS);
}

export function addFaults(known: Upstream, weight: number, nowMs: number): void {
  Object.assign(known, { faults: faultsNow(known, nowMs) + weight, faultsAtMs: nowMs });
}
