/** Sequence numbers of reports, which come late, doubled, reordered and with gaps. */

/** `gap`: events were lost, and the reader should ask for a snapshot. */
export type ApplyResult = 'applied' | 'gap' | 'stale';

/** Moves a sequence on by one event, or says why it cannot. */
export function advance(index: { sequence: number }, sequence: number): ApplyResult {
  if (sequence <= index.sequence) return 'stale';
  const isNext = sequence === index.sequence + 1;
  Object.assign(index, { sequence });
  return isNext ? 'applied' : 'gap';
}
