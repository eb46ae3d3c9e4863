/**
 * Estimates how likely a piece is to be requested again, from the gaps between uses. The measure is
 * the hit density: expected hits per unit of time that the piece is kept (LHD, NSDI 2018).
 * Updated in place by the routing task, its only owner.
 */
import type * as naming from './naming.js';

/** Recorded use of one piece. */
export type PieceUse = {
  lastUseMs: number;
  useCount: number;
  /** Client account, service and use-count class; its pieces are expected to behave alike. */
  group: string;
  parent: naming.PieceName;
  /** The pieces that followed it most recently; the latest is last. */
  children: readonly naming.PieceName[];
};

/** Gaps between uses in one group: how many started, and how many ended in a reuse per bucket. */
type GapHistogram = { startedGaps: number; reuses: number[] };

export type History = {
  byPiece: Map<naming.PieceName, PieceUse>;
  groups: Map<string, GapHistogram>;
};

/** Bounds; the least recently used pieces and the oldest groups are evicted first. */
export const MAX_PIECES = 65_536;
const MAX_GROUPS = 8_192;
const MAX_CHILDREN = 4;
/** A piece that was not used for this long is not expected to be reused. */
export const MAX_GAP_MS = 4 * 24 * 60 * 60_000;
const FIRST_BUCKET_MS = 15_000;
const BUCKET_COUNT = 16;
/** Prior for a group without observations: one reuse in ten gaps. */
const PRIOR_STARTED_GAPS = 10;
const PRIOR_REUSES = 1;

export function create(): History {
  return { byPiece: new Map(), groups: new Map() };
}

/** Records one use of a prompt with these pieces. */
export function recordUse(
  history: History,
  use: { clientAccount: string; service: string; pieces: readonly naming.PieceName[] },
  nowMs: number,
): void {
  use.pieces.forEach((piece, at) => {
    const before = history.byPiece.get(piece);
    if (before) endGap(history, before, nowMs);
    const useCount = (before?.useCount ?? 0) + 1;
    const group = `${use.clientAccount}/${use.service}/${useCountClass(useCount)}`;
    history.byPiece.delete(piece);
    history.byPiece.set(piece, {
      lastUseMs: nowMs,
      useCount,
      group,
      parent: use.pieces[at - 1] ?? '',
      children: childrenOf(before, use.pieces[at + 1]),
    });
    ensureHistogram(history, group).startedGaps += 1;
  });
  evictOldest(history);
}

/** Moves or adds the child to the end, so that the latest is last. */
function childrenOf(
  before: PieceUse | undefined,
  child: naming.PieceName | undefined,
): readonly naming.PieceName[] {
  const children = before?.children ?? [];
  if (child === undefined || children.at(-1) === child) return children;
  return [...children.filter((each) => each !== child), child].slice(-MAX_CHILDREN);
}

/** Classes of use counts: 1, 2, 3 to 4, 5 to 8, and more. */
function useCountClass(useCount: number): number {
  return Math.min(4, Math.ceil(Math.log2(useCount)));
}

function ensureHistogram(history: History, group: string): GapHistogram {
  const found = history.groups.get(group) ?? {
    startedGaps: 0,
    reuses: Array.from({ length: BUCKET_COUNT }, () => 0),
  };
  history.groups.set(group, found);
  return found;
}

function endGap(history: History, use: PieceUse, nowMs: number): void {
  const gaps = ensureHistogram(history, use.group);
  const at = bucketIndex(nowMs - use.lastUseMs);
  gaps.reuses[at] = (gaps.reuses[at] ?? 0) + 1;
}

function bucketIndex(gapMs: number): number {
  if (gapMs < FIRST_BUCKET_MS) return 0;
  return Math.min(BUCKET_COUNT - 1, 1 + Math.floor(Math.log2(gapMs / FIRST_BUCKET_MS)));
}

/** The middle of each bucket, in milliseconds. */
const BUCKET_MIDPOINTS_MS: readonly number[] = Array.from({ length: BUCKET_COUNT }, (_, at) =>
  at === 0 ? FIRST_BUCKET_MS / 2 : FIRST_BUCKET_MS * 1.5 * 2 ** (at - 1),
);

function evictOldest(history: History): void {
  while (history.byPiece.size > MAX_PIECES) {
    const [oldest] = history.byPiece.keys();
    if (oldest === undefined) return;
    history.byPiece.delete(oldest);
  }
  const [group] = history.groups.keys();
  if (history.groups.size > MAX_GROUPS && group !== undefined) history.groups.delete(group);
}

/** Returns the expected hits per hour that the piece is kept; 0 if no use of it is recorded. */
export function estimateHitDensity(
  history: History,
  piece: naming.PieceName,
  nowMs: number,
): number {
  const use = history.byPiece.get(piece);
  if (!use) return 0;
  return hitDensityAt(history.groups.get(use.group), nowMs - use.lastUseMs);
}

const HOUR_MS = 3_600_000;

function hitDensityAt(gaps: GapHistogram | undefined, ageMs: number): number {
  if (ageMs >= MAX_GAP_MS) return 0;
  const from = bucketIndex(ageMs);
  const ended = gaps?.reuses ?? [];
  let endedBefore = 0;
  for (let at = 0; at < from; at += 1) endedBefore += ended[at] ?? 0;
  const survivors = Math.max(0, (gaps?.startedGaps ?? 0) - endedBefore) + PRIOR_STARTED_GAPS;
  let hits = PRIOR_REUSES;
  let keptMs = PRIOR_REUSES * MAX_GAP_MS;
  for (let at = from; at < BUCKET_COUNT; at += 1) {
    const returned = ended[at] ?? 0;
    hits += returned;
    keptMs += returned * Math.max(FIRST_BUCKET_MS, (BUCKET_MIDPOINTS_MS[at] ?? 0) - ageMs);
  }
  keptMs += Math.max(0, survivors - hits) * (MAX_GAP_MS - ageMs);
  return (hits / keptMs) * HOUR_MS;
}
