/**
 * Takes in the platform's list. Entries that lapse while the platform is away are kept for as long as
 * living upstreams need to write themselves back; what is seen to leave is gone at once.
 */
import type * as task from '../kernel/task.js';
import * as upstreams from './upstream.js';

export type Update = {
  changed: readonly upstreams.Registration[];
  removed: readonly string[];
  /** Whether `changed` is the whole list. */
  isSnapshot: boolean;
};

export type Registry = {
  upstreams: Map<string, upstreams.Upstream>;
  /** When the platform was last away, as far as this instance saw. */
  lastOutageAtMs: number;
  /** When news last came. */
  lastUpdateAtMs: number;
};

/** Living upstreams are back on the list within two seconds of the platform's return. */
const OUTAGE_GRACE_MS = 1_900;
/** An upstream that has gone is remembered for late entries of the same incarnation. */
const TOMBSTONE_RETENTION_MS = 60_000;

export function create(): Registry {
  return { upstreams: new Map(), lastOutageAtMs: -Infinity, lastUpdateAtMs: 0 };
}

export function recordOutage(listing: Registry, now: task.Instant): void {
  Object.assign(listing, { lastOutageAtMs: now.monotonicMs });
}

/** Returns the ids of upstreams whose standing or weights changed. */
export function applyUpdate(listing: Registry, news: Update, now: task.Instant): readonly string[] {
  Object.assign(listing, { lastUpdateAtMs: now.monotonicMs });
  const changed = news.changed.flatMap((listed) => applyRegistration(listing, listed, now));
  const present = new Set(news.changed.map(({ id }) => id));
  const unlisted = news.isSnapshot
    ? [...listing.upstreams.keys()].filter((id) => !present.has(id))
    : news.removed;
  return [...changed, ...unlisted.flatMap((id) => applyRemoval(listing, id, now))];
}

function applyRegistration(
  listing: Registry,
  listed: upstreams.Registration,
  now: task.Instant,
): readonly string[] {
  const known = listing.upstreams.get(listed.id);
  if (!known || upstreams.isNewIncarnation(known, listed)) {
    listing.upstreams.set(listed.id, upstreams.fromRegistration(listed, now));
    return [listed.id];
  }
  const before = `${known.registrationState.kind} ${[...known.versions.values()].join()}`;
  upstreams.applyRegistration(known, listed, now);
  const after = `${known.registrationState.kind} ${[...known.versions.values()].join()}`;
  return before === after ? [] : [listed.id];
}

/** After an outage an entry may have lapsed though its upstream lives. */
function applyRemoval(listing: Registry, id: string, now: task.Instant): readonly string[] {
  const known = listing.upstreams.get(id);
  if (!known || known.registrationState.kind === 'gone') return [];
  const sinceMs = now.monotonicMs;
  const mayReturn =
    known.registrationState.kind === 'listed' && sinceMs - listing.lastOutageAtMs < OUTAGE_GRACE_MS;
  if (known.registrationState.kind === 'missing') return [];
  known.registrationState = mayReturn ? { kind: 'missing', sinceMs } : { kind: 'gone', sinceMs };
  return [id];
}

/** Ends what has been missing for too long, and forgets what has long gone. */
export function expire(listing: Registry, now: task.Instant): readonly string[] {
  return [...listing.upstreams].flatMap(([id, known]) => {
    const { registrationState } = known;
    if (
      registrationState.kind === 'missing' &&
      now.monotonicMs - registrationState.sinceMs >= OUTAGE_GRACE_MS
    ) {
      Object.assign(known, { registrationState: { kind: 'gone', sinceMs: now.monotonicMs } });
      return [id];
    }
    if (
      registrationState.kind === 'gone' &&
      now.monotonicMs - registrationState.sinceMs >= TOMBSTONE_RETENTION_MS
    ) {
      listing.upstreams.delete(id);
    }
    return [];
  });
}
