/**
 * Applies the platform's list of upstreams. Entries that expire while the platform is unavailable are
 * kept for as long as running upstreams need to register again; other removals take effect at once.
 */
import type * as task from '../kernel/task.js';
import * as upstreams from './upstream.js';

export type Update = {
  changed: readonly upstreams.Registration[];
  removed: readonly string[];
  /** Whether `changed` is the complete list. */
  isSnapshot: boolean;
};

export type Registry = {
  upstreams: Map<string, upstreams.Upstream>;
  /** When this instance last found the platform unavailable, in monotonic ms. */
  lastOutageAtMs: number;
  /** When the last update arrived, in monotonic ms. */
  lastUpdateAtMs: number;
};

/** Running upstreams are back on the list within two seconds of the platform's return. */
const OUTAGE_GRACE_MS = 1_900;
/** So many that are removed at once have hardly left all together. */
const MIN_MASS_REMOVAL = 3;
/** A removed upstream is kept this long to recognise late entries of the same incarnation. */
const TOMBSTONE_RETENTION_MS = 60_000;

export function create(): Registry {
  return { upstreams: new Map(), lastOutageAtMs: -Infinity, lastUpdateAtMs: 0 };
}

export function recordOutage(registry: Registry, now: task.Instant): void {
  Object.assign(registry, { lastOutageAtMs: now.monotonicMs });
}

/** Returns the ids of upstreams whose registration state or weights changed. */
export function applyUpdate(
  registry: Registry,
  update: Update,
  now: task.Instant,
): readonly string[] {
  Object.assign(registry, { lastUpdateAtMs: now.monotonicMs });
  const changed = update.changed.flatMap((registration) =>
    applyRegistration(registry, registration, now),
  );
  const present = new Set(update.changed.map(({ id }) => id));
  const absent = update.isSnapshot
    ? [...registry.upstreams.keys()].filter((id) => !present.has(id))
    : update.removed;
  const leaving = absent.filter((id) => isInService(registry.upstreams.get(id)));
  const graceEndMs = graceEnd(registry, leaving.length, now);
  return [...changed, ...leaving.flatMap((id) => applyRemoval(registry, id, graceEndMs, now))];
}

function isInService(upstream: upstreams.Upstream | undefined): boolean {
  const kind = upstream?.registrationState.kind;
  return kind === 'listed' || kind === 'draining';
}

/**
 * Until when removed entries may return. An outage of the platform lets most entries expire, and they
 * are back within the grace period after its end, which is at the latest now. An instance for which
 * another one reads may not have noticed the outage itself. If only few are gone, the platform was out
 * of reach for this instance alone, and they have most likely left.
 */
function graceEnd(
  { upstreams: known, lastOutageAtMs }: Registry,
  removed: number,
  now: task.Instant,
): number {
  const isAfterOutage = now.monotonicMs - lastOutageAtMs < OUTAGE_GRACE_MS;
  const inService = [...known.values()].filter(isInService).length;
  const areMost = removed > inService / 2 && (isAfterOutage || removed >= MIN_MASS_REMOVAL);
  if (areMost) return now.monotonicMs + OUTAGE_GRACE_MS;
  return isAfterOutage ? lastOutageAtMs + OUTAGE_GRACE_MS : -Infinity;
}

function applyRegistration(
  registry: Registry,
  registration: upstreams.Registration,
  now: task.Instant,
): readonly string[] {
  const upstream = registry.upstreams.get(registration.id);
  if (upstream && upstreams.isEarlierIncarnation(upstream, registration)) return [];
  if (!upstream || upstreams.isNewIncarnation(upstream, registration)) {
    registry.upstreams.set(registration.id, upstreams.fromRegistration(registration, now));
    return [registration.id];
  }
  const before = `${upstream.registrationState.kind} ${[...upstream.versions.values()].join()}`;
  upstreams.applyRegistration(upstream, registration, now);
  const after = `${upstream.registrationState.kind} ${[...upstream.versions.values()].join()}`;
  return before === after ? [] : [registration.id];
}

/** Shortly after an outage, marks the entry missing: it may have expired while its upstream kept running. */
function applyRemoval(
  registry: Registry,
  id: string,
  graceEndMs: number,
  now: task.Instant,
): readonly string[] {
  const upstream = registry.upstreams.get(id);
  if (!upstream) return [];
  const mayReturn = upstream.registrationState.kind === 'listed' && graceEndMs > now.monotonicMs;
  upstream.registrationState = mayReturn
    ? { kind: 'missing', untilMs: graceEndMs }
    : { kind: 'gone', sinceMs: now.monotonicMs };
  return [id];
}

/** Marks upstreams gone whose grace period has ended, and deletes old tombstones. Returns ids newly gone. */
export function expire(registry: Registry, now: task.Instant): readonly string[] {
  return [...registry.upstreams].flatMap(([id, upstream]) => {
    const { registrationState } = upstream;
    if (registrationState.kind === 'missing' && now.monotonicMs >= registrationState.untilMs) {
      Object.assign(upstream, { registrationState: { kind: 'gone', sinceMs: now.monotonicMs } });
      return [id];
    }
    if (
      registrationState.kind === 'gone' &&
      now.monotonicMs - registrationState.sinceMs >= TOMBSTONE_RETENTION_MS
    ) {
      registry.upstreams.delete(id);
    }
    return [];
  });
}
