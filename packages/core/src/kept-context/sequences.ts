/** Sequence numbers of reports, which can be late, duplicated, reordered or lost. */

/** `gap`: events were lost, and the caller should request a snapshot. */
export type ApplyResult = 'applied' | 'gap' | 'stale';

/** Advances to the sequence of a newer event; an older or repeated one is `stale`. */
export function advance(index: { sequence: number }, sequence: number): ApplyResult {
  if (sequence <= index.sequence) return 'stale';
  const isNext = sequence === index.sequence + 1;
  Object.assign(index, { sequence });
  return isNext ? 'applied' : 'gap';
}
