/**
 * Takes in the platform's list. Entries that lapse while the platform is away are kept for as long as
 * living upstreams need to write themselves back; what is seen to leave is gone at once.
 */
import type * as task from '../kernel/task.js';
import * as upstreams from './upstream.js';

export type News = {
  changed: readonly upstreams.Listed[];
  removed: readonly string[];
  /** Whether `changed` is the whole list. */
  isSnapshot: boolean;
};

export type Listing = {
  upstreams: Map<string, upstreams.Upstream>;
  /** When the platform was last away, as far as this instance saw. */
  disturbedAtMs: number;
  /** When news last came. */
  newsAtMs: number;
};

/** Living upstreams are back on the list within two seconds of the platform's return. */
const RETURN_MS = 1_900;
/** An upstream that has gone is remembered for late entries of the same incarnation. */
const FORGET_MS = 60_000;

export function create(): Listing {
  return { upstreams: new Map(), disturbedAtMs: -Infinity, newsAtMs: 0 };
}

export function disturbed(listing: Listing, now: task.Instant): void {
  Object.assign(listing, { disturbedAtMs: now.monotonicMs });
}

/** Returns the ids of upstreams whose standing or weights changed. */
export function take(listing: Listing, news: News, now: task.Instant): readonly string[] {
  Object.assign(listing, { newsAtMs: now.monotonicMs });
  const changed = news.changed.flatMap((listed) => takeEntry(listing, listed, now));
  const present = new Set(news.changed.map(({ id }) => id));
  const unlisted = news.isSnapshot
    ? [...listing.upstreams.keys()].filter((id) => !present.has(id))
    : news.removed;
  return [...changed, ...unlisted.flatMap((id) => takeRemoval(listing, id, now))];
}

function takeEntry(
  listing: Listing,
  listed: upstreams.Listed,
  now: task.Instant,
): readonly string[] {
  const known = listing.upstreams.get(listed.id);
  if (!known || upstreams.isReborn(known, listed)) {
    listing.upstreams.set(listed.id, upstreams.fromList(listed, now));
    return [listed.id];
  }
  const before = `${known.standing.kind} ${[...known.versions.values()].join()}`;
  upstreams.update(known, listed, now);
  const after = `${known.standing.kind} ${[...known.versions.values()].join()}`;
  return before === after ? [] : [listed.id];
}

/** After an outage an entry may have lapsed though its upstream lives. */
function takeRemoval(listing: Listing, id: string, now: task.Instant): readonly string[] {
  const known = listing.upstreams.get(id);
  if (!known || known.standing.kind === 'gone') return [];
  const sinceMs = now.monotonicMs;
  const mayReturn = known.standing.kind === 'listed' && sinceMs - listing.disturbedAtMs < RETURN_MS;
  if (known.standing.kind === 'missing') return [];
  known.standing = mayReturn ? { kind: 'missing', sinceMs } : { kind: 'gone', sinceMs };
  return [id];
}

/** Ends what has been missing for too long, and forgets what has long gone. */
export function expire(listing: Listing, now: task.Instant): readonly string[] {
  return [...listing.upstreams].flatMap(([id, known]) => {
    const { standing } = known;
    if (standing.kind === 'missing' && now.monotonicMs - standing.sinceMs >= RETURN_MS) {
      Object.assign(known, { standing: { kind: 'gone', sinceMs: now.monotonicMs } });
      return [id];
    }
    if (standing.kind === 'gone' && now.monotonicMs - standing.sinceMs >= FORGET_MS) {
      listing.upstreams.delete(id);
    }
    return [];
  });
}
