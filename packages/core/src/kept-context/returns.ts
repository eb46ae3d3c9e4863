/**
 * How likely a piece is to be asked for again, learned from the gaps between visits. The measure is
 * the hit density: expected hits for each unit of time that the piece stays (LHD, NSDI 2018).
 * Updated in place by the routing task, which alone owns it.
 */
import type * as naming from './naming.js';

/** What is remembered of one piece. */
export type Use = {
  lastUseMs: number;
  uses: number;
  /** Pieces of one client account and service, and of like many uses, are expected to behave alike. */
  group: string;
  parent: naming.PieceName;
  /** The piece that last followed it, or empty. */
  child: naming.PieceName;
};

/** Gaps of one group: `starts` of gaps, and how many ended by a return in each bucket. */
type Gaps = { starts: number; returns: number[] };

export type Returns = { uses: Map<naming.PieceName, Use>; groups: Map<string, Gaps> };

/** Bounds; what has not been used for longest leaves first. */
export const MAX_USES = 65_536;
const MAX_GROUPS = 8_192;
/** Gaps beyond this are not waited for. */
export const HORIZON_MS = 4 * 24 * 60 * 60_000;
const FIRST_BUCKET_MS = 15_000;
const BUCKETS = 16;
/** Stands in for a group that has not been seen: one return in ten gaps. */
const PRIOR_STARTS = 10;
const PRIOR_RETURNS = 1;

export function create(): Returns {
  return { uses: new Map(), groups: new Map() };
}

/** Takes in one visit of a prompt with these pieces. */
export function noteVisit(
  returns: Returns,
  visit: { clientAccount: string; service: string; pieces: readonly naming.PieceName[] },
  nowMs: number,
): void {
  visit.pieces.forEach((piece, at) => {
    const before = returns.uses.get(piece);
    if (before) endGap(returns, before, nowMs);
    const uses = (before?.uses ?? 0) + 1;
    const group = `${visit.clientAccount}/${visit.service}/${usesClass(uses)}`;
    returns.uses.delete(piece);
    returns.uses.set(piece, {
      lastUseMs: nowMs,
      uses,
      group,
      parent: visit.pieces[at - 1] ?? '',
      child: visit.pieces[at + 1] ?? before?.child ?? '',
    });
    gapsOf(returns, group).starts += 1;
  });
  forgetOldest(returns);
}

/** 1, 2, 3 to 4, 5 to 8, … uses. */
function usesClass(uses: number): number {
  return Math.min(4, Math.ceil(Math.log2(uses)));
}

function gapsOf(returns: Returns, group: string): Gaps {
  const found = returns.groups.get(group) ?? {
    starts: 0,
    returns: Array.from({ length: BUCKETS }, () => 0),
  };
  returns.groups.set(group, found);
  return found;
}

function endGap(returns: Returns, use: Use, nowMs: number): void {
  const gaps = gapsOf(returns, use.group);
  const at = bucketOf(nowMs - use.lastUseMs);
  gaps.returns[at] = (gaps.returns[at] ?? 0) + 1;
}

function bucketOf(gapMs: number): number {
  if (gapMs < FIRST_BUCKET_MS) return 0;
  return Math.min(BUCKETS - 1, 1 + Math.floor(Math.log2(gapMs / FIRST_BUCKET_MS)));
}

/** The middle of each bucket. */
const BUCKET_MS: readonly number[] = Array.from({ length: BUCKETS }, (_, at) =>
  at === 0 ? FIRST_BUCKET_MS / 2 : FIRST_BUCKET_MS * 1.5 * 2 ** (at - 1),
);

function forgetOldest(returns: Returns): void {
  while (returns.uses.size > MAX_USES) {
    const [oldest] = returns.uses.keys();
    if (oldest === undefined) return;
    returns.uses.delete(oldest);
  }
  const [group] = returns.groups.keys();
  if (returns.groups.size > MAX_GROUPS && group !== undefined) returns.groups.delete(group);
}

/** Expected hits for each hour that a piece last used then stays kept; 0 if nothing is known of it. */
export function densityOf(returns: Returns, piece: naming.PieceName, nowMs: number): number {
  const use = returns.uses.get(piece);
  if (!use) return 0;
  return density(returns.groups.get(use.group), nowMs - use.lastUseMs);
}

const HOUR_MS = 3_600_000;

function density(gaps: Gaps | undefined, ageMs: number): number {
  if (ageMs >= HORIZON_MS) return 0;
  const from = bucketOf(ageMs);
  const ended = gaps?.returns ?? [];
  let endedBefore = 0;
  for (let at = 0; at < from; at += 1) endedBefore += ended[at] ?? 0;
  const survivors = Math.max(0, (gaps?.starts ?? 0) - endedBefore) + PRIOR_STARTS;
  let hits = PRIOR_RETURNS;
  let stayMs = PRIOR_RETURNS * HORIZON_MS;
  for (let at = from; at < BUCKETS; at += 1) {
    const returned = ended[at] ?? 0;
    hits += returned;
    stayMs += returned * Math.max(FIRST_BUCKET_MS, (BUCKET_MS[at] ?? 0) - ageMs);
  }
  stayMs += Math.max(0, survivors - hits) * (HORIZON_MS - ageMs);
  return (hits / stayMs) * HOUR_MS;
}
