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
  return [...changed, ...absent.flatMap((id) => applyRemoval(registry, id, now))];
}

function applyRegistration(
  registry: Registry,
  registration: upstreams.Registration,
  now: task.Instant,
): readonly string[] {
  const upstream = registry.upstreams.get(registration.id);
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
function applyRemoval(registry: Registry, id: string, now: task.Instant): readonly string[] {
  const upstream = registry.upstreams.get(id);
  if (!upstream || upstream.registrationState.kind === 'gone') return [];
  const sinceMs = now.monotonicMs;
  const mayReturn =
    upstream.registrationState.kind === 'listed' &&
    sinceMs - registry.lastOutageAtMs < OUTAGE_GRACE_MS;
  if (upstream.registrationState.kind === 'missing') return [];
  upstream.registrationState = mayReturn ? { kind: 'missing', sinceMs } : { kind: 'gone', sinceMs };
  return [id];
}

/** Marks upstreams gone whose grace period has ended, and deletes old tombstones. Returns ids newly gone. */
export function expire(registry: Registry, now: task.Instant): readonly string[] {
  return [...registry.upstreams].flatMap(([id, upstream]) => {
    const { registrationState } = upstream;
    if (
      registrationState.kind === 'missing' &&
      now.monotonicMs - registrationState.sinceMs >= OUTAGE_GRACE_MS
    ) {
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
