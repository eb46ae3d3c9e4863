/**
 * How likely a piece is to be asked for again, learned from the gaps between visits. The measure is
 * the hit density: expected hits for each unit of time that the piece stays (LHD, NSDI 2018).
 * Updated in place by the routing task, which alone owns it.
 */
import type * as naming from './naming.js';

/** What is remembered of one piece. */
export type PieceUse = {
  lastUseMs: number;
  useCount: number;
  /** Pieces of one client account and service, and of like many uses, are expected to behave alike. */
  group: string;
  parent: naming.PieceName;
  /** The pieces that followed it lately. */
  children: readonly naming.PieceName[];
};

/** Gaps of one group: `starts` of gaps, and how many ended by a return in each bucket. */
type GapHistogram = { startedGaps: number; reuses: number[] };

export type History = {
  byPiece: Map<naming.PieceName, PieceUse>;
  groups: Map<string, GapHistogram>;
};

/** Bounds; what has not been used for longest leaves first. */
export const MAX_PIECES = 65_536;
const MAX_GROUPS = 8_192;
const MAX_CHILDREN = 4;
/** Gaps beyond this are not waited for. */
export const MAX_GAP_MS = 4 * 24 * 60 * 60_000;
const FIRST_BUCKET_MS = 15_000;
const BUCKETS = 16;
/** Stands in for a group that has not been seen: one return in ten gaps. */
const PRIOR_STARTS = 10;
const PRIOR_REUSES = 1;

export function create(): History {
  return { byPiece: new Map(), groups: new Map() };
}

/** Takes in one visit of a prompt with these pieces. */
export function recordUse(
  returns: History,
  visit: { clientAccount: string; service: string; pieces: readonly naming.PieceName[] },
  nowMs: number,
): void {
  visit.pieces.forEach((piece, at) => {
    const before = returns.byPiece.get(piece);
    if (before) endGap(returns, before, nowMs);
    const uses = (before?.useCount ?? 0) + 1;
    const group = `${visit.clientAccount}/${visit.service}/${usesClass(uses)}`;
    returns.byPiece.delete(piece);
    returns.byPiece.set(piece, {
      lastUseMs: nowMs,
      useCount: uses,
      group,
      parent: visit.pieces[at - 1] ?? '',
      children: childrenOf(before, visit.pieces[at + 1]),
    });
    ensureHistogram(returns, group).startedGaps += 1;
  });
  evictOldest(returns);
}

/** The latest is last. */
function childrenOf(
  before: PieceUse | undefined,
  child: naming.PieceName | undefined,
): readonly naming.PieceName[] {
  const children = before?.children ?? [];
  if (child === undefined || children.at(-1) === child) return children;
  return [...children.filter((each) => each !== child), child].slice(-MAX_CHILDREN);
}

/** 1, 2, 3 to 4, 5 to 8, … uses. */
function usesClass(uses: number): number {
  return Math.min(4, Math.ceil(Math.log2(uses)));
}

function ensureHistogram(returns: History, group: string): GapHistogram {
  const found = returns.groups.get(group) ?? {
    startedGaps: 0,
    reuses: Array.from({ length: BUCKETS }, () => 0),
  };
  returns.groups.set(group, found);
  return found;
}

function endGap(returns: History, use: PieceUse, nowMs: number): void {
  const gaps = ensureHistogram(returns, use.group);
  const at = bucketOf(nowMs - use.lastUseMs);
  gaps.reuses[at] = (gaps.reuses[at] ?? 0) + 1;
}

function bucketOf(gapMs: number): number {
  if (gapMs < FIRST_BUCKET_MS) return 0;
  return Math.min(BUCKETS - 1, 1 + Math.floor(Math.log2(gapMs / FIRST_BUCKET_MS)));
}

/** The middle of each bucket. */
const BUCKET_MS: readonly number[] = Array.from({ length: BUCKETS }, (_, at) =>
  at === 0 ? FIRST_BUCKET_MS / 2 : FIRST_BUCKET_MS * 1.5 * 2 ** (at - 1),
);

function evictOldest(returns: History): void {
  while (returns.byPiece.size > MAX_PIECES) {
    const [oldest] = returns.byPiece.keys();
    if (oldest === undefined) return;
    returns.byPiece.delete(oldest);
  }
  const [group] = returns.groups.keys();
  if (returns.groups.size > MAX_GROUPS && group !== undefined) returns.groups.delete(group);
}

/** Expected hits for each hour that a piece last used then stays kept; 0 if nothing is known of it. */
export function estimateHitDensity(
  returns: History,
  piece: naming.PieceName,
  nowMs: number,
): number {
  const use = returns.byPiece.get(piece);
  if (!use) return 0;
  return hitDensityAt(returns.groups.get(use.group), nowMs - use.lastUseMs);
}

const HOUR_MS = 3_600_000;

function hitDensityAt(gaps: GapHistogram | undefined, ageMs: number): number {
  if (ageMs >= MAX_GAP_MS) return 0;
  const from = bucketOf(ageMs);
  const ended = gaps?.reuses ?? [];
  let endedBefore = 0;
  for (let at = 0; at < from; at += 1) endedBefore += ended[at] ?? 0;
  const survivors = Math.max(0, (gaps?.startedGaps ?? 0) - endedBefore) + PRIOR_STARTS;
  let hits = PRIOR_REUSES;
  let stayMs = PRIOR_REUSES * MAX_GAP_MS;
  for (let at = from; at < BUCKETS; at += 1) {
    const returned = ended[at] ?? 0;
    hits += returned;
    stayMs += returned * Math.max(FIRST_BUCKET_MS, (BUCKET_MS[at] ?? 0) - ageMs);
  }
  stayMs += Math.max(0, survivors - hits) * (MAX_GAP_MS - ageMs);
  return (hits / stayMs) * HOUR_MS;
}
