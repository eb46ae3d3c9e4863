/** Computes the figures of one run of one policy. */
import * as worlds from './world.js';

export type Figures = {
  ttftP50Ms: number;
  ttftP95Ms: number;
  ttftP99Ms: number;
  /** Share of returning context, computed by an earlier visit, that was computed again. */
  recomputedShare: number;
  importBytes: number;
  exportBytes: number;
  linkBytes: number;
  /** Time to first token of the short checks. */
  checkP95Ms: number;
  visits: number;
};

export function figuresOf(world: worlds.World): Figures {
  const isCheck = ({ visit }: worlds.Served) => visit.service === world.shape.checkService;
  const long = world.served.filter((each) => !isCheck(each));
  const ms = sorted(long.map(({ firstTokenMs }) => firstTokenMs));
  const checkMs = sorted(world.served.filter(isCheck).map(({ firstTokenMs }) => firstTokenMs));
  const returned = sum(long.map(({ visit }) => visit.returnedPieces));
  const recomputed = sum(
    long.map(({ visit, heldPieces }) => Math.max(0, visit.returnedPieces - heldPieces)),
  );
  const bytes = world.stores.map((store) => store.bytes());
  const importBytes = sum(bytes.map(({ imported }) => imported));
  const exportBytes = sum(bytes.map(({ exported }) => exported));
  return {
    ttftP50Ms: quantile(ms, 0.5),
    ttftP95Ms: quantile(ms, 0.95),
    ttftP99Ms: quantile(ms, 0.99),
    recomputedShare: Math.round((recomputed / returned) * 1e4) / 1e4,
    importBytes,
    exportBytes,
    linkBytes: importBytes + exportBytes,
    checkP95Ms: quantile(checkMs, 0.95),
    visits: world.served.length,
  };
}

function sum(values: readonly number[]): number {
  return values.reduce((total, each) => total + each, 0);
}

function sorted(values: readonly number[]): readonly number[] {
  return [...values].sort((a, b) => a - b);
}

function quantile(values: readonly number[], share: number): number {
  const at = Math.min(values.length - 1, Math.floor(values.length * share));
  return Math.round((values[at] ?? 0) * 10) / 10;
}
