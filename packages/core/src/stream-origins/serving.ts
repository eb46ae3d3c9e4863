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
/** By how much the clocks of instances may differ, and for how long the store may have taken no record. */
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
    versions.forEach((untilMs, version) => {
      if (untilMs !== Infinity || current.has(nameOf({ service, version }))) return;
      versions.set(version, now.monotonicMs + state.longestStreamMs + MAX_LAG_MS + RETURN_MS);
    }),
  );
}

export function nameOf({ service, version }: { service: string; version: string }): string {
  return `${service}\n${version}`;
}

export function extend(
  state: states.State,
  service: string,
  version: string,
  untilMs: number,
): void {
  const versions = state.serving.get(service) ?? new Map<string, number>();
  state.serving.set(service, versions);
  versions.set(version, Math.max(versions.get(version) ?? 0, untilMs));
}

/** Versions that an instance wrote, which this one may never have seen listed. */
export function applyRecord(
  state: states.State,
  { writtenAtMs, groups }: record.Content,
  now: task.Instant,
): void {
  const ageMs = now.wallMs - writtenAtMs;
  const untilMs = now.monotonicMs - ageMs + state.longestStreamMs + RECORD_MARGIN_MS;
  if (untilMs <= now.monotonicMs) return;
  groups.forEach(({ service, version }) => extend(state, service, version, untilMs));
}

export function versionsOf(
  { serving }: states.State,
  service: string,
  now: task.Instant,
): readonly string[] {
  return [...(serving.get(service) ?? [])]
    .filter(([, untilMs]) => untilMs > now.monotonicMs)
    .map(([version]) => version);
}

export function areSeveral(state: states.State, service: string, now: task.Instant): boolean {
  return versionsOf(state, service, now).length > 1;
}

/** When the number of versions next falls by itself; infinite if it does not. */
export function nextEndMs({ serving }: states.State, now: task.Instant): number {
  const ends = [...serving.values()].flatMap((versions) => [...versions.values()]);
  return Math.min(...ends.filter((untilMs) => untilMs > now.monotonicMs), Infinity);
}

export function dropEnded({ serving }: states.State, now: task.Instant): void {
  serving.forEach((versions) =>
    versions.forEach((untilMs, version) => {
      if (untilMs <= now.monotonicMs) versions.delete(version);
    }),
  );
}
