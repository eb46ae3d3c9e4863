/** Counts the crashes that each part was suspected of. */
import type * as task from '../kernel/task.js';
import * as clearing from './clearing.js';
import * as ledgers from './ledger.js';
import * as names from './names.js';
import type * as types from './types.js';

/** Upstreams that go down together are one event: a data centre, a cut. */
const MIN_DISTANCE_MS = 250;
/** Upstreams that go down for one reason rarely hold the same request; ends that come together are that reason. */
const MIN_DISTANCE_OF_REQUEST_MS = 50;
/** Suspects of one crash are heard of within this time; later ones are of a crash after an unseen return. */
const SAME_CRASH_MS = 1_500;
/** A crash counts for each request in flight at the upstream. */
const MAX_TALLIES = 2_048;
const MAX_CRASHES = 8;
export const TALLY_RETENTION_MS = 600_000;

/** Counts the suspect for one of its parts. Returns the tally if the crash counts. */
export function count(
  ledger: ledgers.Ledger,
  suspect: types.Suspect,
  part: string,
  atMs: number,
  now: task.Instant,
): ledgers.Tally | undefined {
  const { model, crash, upstream, requestId, clientAccount, parts, hadHead } = suspect;
  const key = names.partKey(model, part);
  if (clearing.isCleared(ledger, key, now)) return undefined;
  const known = ledger.tallies.get(key)?.crashes ?? [];
  const minDistanceMs = names.isOfRequest(part) ? MIN_DISTANCE_OF_REQUEST_MS : MIN_DISTANCE_MS;
  const isCounted = known.some(
    (each) =>
      each.requestId === requestId ||
      (each.crash === crash && Math.abs(each.atMs - atMs) < SAME_CRASH_MS) ||
      // Of upstreams that go down together, few had just begun an answer: a head tells such crashes apart.
      (!hadHead && Math.abs(each.atMs - atMs) < minDistanceMs),
  );
  if (isCounted) return undefined;
  const crashes = [...known, { crash, upstream, requestId, clientAccount, parts, atMs }];
  const tally = { model, part, crashes: crashes.slice(-MAX_CRASHES) };
  ledgers.setBounded(ledger.tallies, key, tally, MAX_TALLIES);
  return tally;
}

/** Whether the part was counted for another request than this one. */
export function isCountedForOther(
  { tallies }: ledgers.Ledger,
  key: string,
  requestId: string,
): boolean {
  return tallies.get(key)?.crashes.some((each) => each.requestId !== requestId) ?? false;
}

export function expire({ tallies }: ledgers.Ledger, now: task.Instant): void {
  ledgers.deleteOlder(
    tallies,
    ({ crashes }) => crashes.at(-1)?.atMs ?? -Infinity,
    now.monotonicMs - TALLY_RETENTION_MS,
  );
}
