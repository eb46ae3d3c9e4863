/** Which software versions of a service serve, or served so lately that streams of them are taken up. */
import type * as discovery from '../fleet/discovery.js';
import type * as task from '../kernel/task.js';
import type * as record from './record.js';
import type * as states from './state.js';

/** Time in which a caller hears that its stream broke off, and comes again. */
const RETURN_MS = 2_000;
/**
 * An instance that hears of no change accepts credentials for about as long, and begins streams at a version
 * that has left.
 */
const MAX_LAG_MS = 5_000;
/** By how much the clocks of instances may differ, and for how long a record may not have been renewed. */
const RECORD_MARGIN_MS = 30_000;

export function applyList(
  state: states.State,
  { changed, removed, isSnapshot }: discovery.Update,
  askedAt: task.Instant,
  now: task.Instant,
): void {
  const { listed } = state;
  const present = new Set(changed.map(({ id }) => id));
  if (isSnapshot) {
    [...listed.keys()].filter((id) => !present.has(id)).forEach((id) => listed.delete(id));
  }
  removed.forEach((id) => listed.delete(id));
  changed.forEach(({ id, service, softwareVersion: version }) =>
    listed.set(id, { service, version }),
  );
  if (!state.listedAt || askedAt.monotonicMs > state.listedAt.monotonicMs) {
    Object.assign(state, { listedAt: askedAt });
  }
  if (changed.length === 0 && removed.length === 0 && !isSnapshot) return;
  markLeft(state, now);
  listed.forEach(({ service, version }) => extend(state, service, version, Infinity));
}

/** Versions that are not listed any more: their streams are with their callers for a while. */
function markLeft(state: states.State, now: task.Instant): void {
  const current = new Set([...state.listed.values()].map(nameOf));
  state.serving.forEach((versions, service) =>
    versions.forEach((known, version) => {
      if (known.untilMs !== Infinity || current.has(nameOf({ service, version }))) return;
      Object.assign(known, { untilMs: leftUntilMs(state, now) });
    }),
  );
}

function leftUntilMs({ longestStreamMs }: states.State, { monotonicMs }: task.Instant): number {
  return monotonicMs + longestStreamMs + MAX_LAG_MS + RETURN_MS;
}

export function nameOf({ service, version }: { service: string; version: string }): string {
  return `${service}\n${version}`;
}

function servingOf(state: states.State, service: string, version: string): states.Serving {
  const versions = state.serving.get(service) ?? new Map<string, states.Serving>();
  state.serving.set(service, versions);
  const known = versions.get(version) ?? { untilMs: -Infinity, recordedUntilMs: -Infinity };
  versions.set(version, known);
  return known;
}

export function extend(
  state: states.State,
  service: string,
  version: string,
  untilMs: number,
): void {
  const known = servingOf(state, service, version);
  Object.assign(known, { untilMs: Math.max(known.untilMs, untilMs) });
}

/** Versions that an instance wrote, which this one may never have seen listed. */
export function applyRecord(
  state: states.State,
  { writtenAtMs, groups }: record.Content,
  { monotonicMs, wallMs }: task.Instant,
): void {
  groups.forEach(({ service, version, untilMs = writtenAtMs + state.longestStreamMs }) => {
    const recordedUntilMs = monotonicMs + untilMs - wallMs;
    if (recordedUntilMs + RECORD_MARGIN_MS <= monotonicMs) return;
    const known = servingOf(state, service, version);
    Object.assign(known, {
      recordedUntilMs: Math.max(known.recordedUntilMs, recordedUntilMs),
    });
  });
}

/** Until when streams of the version may be taken up, for the record of this instance; in Unix ms. */
export function countsUntilMs(
  state: states.State,
  service: string,
  version: string,
  now: task.Instant,
): number {
  const known = servingOf(state, service, version);
  const ownMs = known.untilMs === Infinity ? leftUntilMs(state, now) : known.untilMs;
  const untilMs = Math.max(ownMs, known.recordedUntilMs);
  return Math.max(0, Math.round(now.wallMs + untilMs - now.monotonicMs));
}

function endMs(known: states.Serving): number {
  return Math.max(known.untilMs, known.recordedUntilMs + RECORD_MARGIN_MS);
}

export function versionsOf(
  { serving }: states.State,
  service: string,
  now: task.Instant,
): readonly string[] {
  return [...(serving.get(service) ?? [])]
    .filter(([, known]) => endMs(known) > now.monotonicMs)
    .map(([version]) => version);
}

export function areSeveral(state: states.State, service: string, now: task.Instant): boolean {
  return versionsOf(state, service, now).length > 1;
}

/** When the number of versions next falls by itself; infinite if it does not. */
export function nextEndMs({ serving }: states.State, now: task.Instant): number {
  const ends = [...serving.values()].flatMap((versions) => [...versions.values()].map(endMs));
  return Math.min(...ends.filter((untilMs) => untilMs > now.monotonicMs), Infinity);
}

export function dropEnded({ serving }: states.State, now: task.Instant): void {
  serving.forEach((versions) =>
    versions.forEach((known, version) => {
      if (endMs(known) <= now.monotonicMs) versions.delete(version);
    }),
  );
}
