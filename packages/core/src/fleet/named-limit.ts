/**
 * The limit that an upstream names in its answers: requests a second from all instances together, for as
 * long as it says so. Answers on different connections overtake each other.
 */

export type NamedLimit = {
  perS: number;
  /** When the answer with it arrived, in monotonic ms. */
  heardAtMs: number;
};

/** One answer: its limit, if it names one, and when its request was sent, if that is known. */
export type Heard = { perS: number | undefined; sentAtMs: number | undefined };

/**
 * The limit that holds after an answer. An answer to a request that was sent after the known limit arrived
 * is newer than it; of two whose order is not known, the lower limit holds.
 */
export function afterAnswer(
  known: NamedLimit | undefined,
  { perS, sentAtMs = -Infinity }: Heard,
  nowMs: number,
): NamedLimit | undefined {
  const isNewer = known === undefined || sentAtMs >= known.heardAtMs;
  if (perS === undefined) return isNewer ? undefined : known;
  return isNewer || perS < known.perS ? { perS, heardAtMs: nowMs } : known;
}
