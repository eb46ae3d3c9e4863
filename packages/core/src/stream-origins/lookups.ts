/** Answers where a stream began, from what this instance knows or from what all instances wrote. */
import * as staleness from '../gateway/staleness.js';
import type * as task from '../kernel/task.js';
import type * as platform from '../messages/platform.js';
import * as keys from '../knowledge/keys.js';
import type * as origin from './origin.js';
import * as record from './record.js';
import * as serving from './serving.js';
import type * as states from './state.js';
import * as writing from './writing.js';

/** Least time between two listings of one instance. */
const MIN_INTERVAL_MS = 100;
/** The same before the first answer, while nobody asks. */
const START_INTERVAL_MS = 500;
/** Listings a second of all instances together. */
const ALL_LISTINGS_PER_S = 1_000;
/** Time-out of a listing: a slow store takes 300 ms, and the time of a look-up is enough for a second one. */
export const LISTING_TIMEOUT_MS = 450;
/** A caller that is not answered in this time is refused, and may come again. */
const LOOKUP_TIMEOUT_MS = 1_000;
/** By the larger of both clocks: in a suspension the monotonic one stands still. */
const MAX_LIST_AGE_MS = 3_000;

export type Answer = { ask: states.Ask; origin: origin.Origin };

/** What can be told without the platform; undefined if it has to be asked. */
function findHere(
  state: states.State,
  { stream, service, askedAtMs }: states.Ask,
  now: task.Instant,
): origin.Origin | undefined {
  const own = state.streams.get(stream);
  if (own) return { kind: 'known', version: own.version, evidence: 'own' };
  const version = state.recorded.get(stream);
  if (state.recorded.has(stream) && version === undefined) {
    return { kind: 'unknown', gap: 'several-versions' };
  }
  if (version !== undefined) return { kind: 'known', version, evidence: 'recorded' };
  const [only, ...others] = serving.versionsOf(state, service, now);
  if (only === undefined || others.length > 0) return undefined;
  // Whoever begins streams at another version has recorded it before, and the caller came after that.
  if (state.recordsReadAtMs < askedAtMs) return undefined;
  if (isListOutdated(state, now)) return { kind: 'unknown', gap: 'list-outdated' };
  return { kind: 'known', version: only, evidence: 'only-version' };
}

function isListOutdated({ listedAt }: states.State, now: task.Instant): boolean {
  return !listedAt || staleness.ageMs(listedAt, now) > MAX_LIST_AGE_MS;
}

function unreadRecords(state: states.State, now: task.Instant): origin.Origin {
  return {
    kind: 'unknown',
    gap: isListOutdated(state, now) ? 'list-outdated' : 'store-unavailable',
  };
}

/** The answers that can be given; other asks wait for a listing. */
export function takeAnswers(state: states.State, now: task.Instant): readonly Answer[] {
  const answers: Answer[] = [];
  const waiting = state.asks.filter((ask) => {
    const isLate = now.monotonicMs - ask.askedAtMs >= LOOKUP_TIMEOUT_MS;
    const found = findHere(state, ask, now) ?? (isLate ? unreadRecords(state, now) : undefined);
    if (found) answers.push({ ask, origin: found });
    return !found;
  });
  Object.assign(state, { asks: waiting });
  return answers;
}

/** Whether the platform is asked now: it is before the first answer, and while asks wait for one. */
export function takeListing(state: states.State, now: task.Instant): boolean {
  if (state.listing.kind === 'under-way' || now.monotonicMs < nextListingMs(state)) return false;
  Object.assign(state, {
    listing: { kind: 'under-way', beganAtMs: now.monotonicMs },
    lastListingAtMs: now.monotonicMs,
  });
  return true;
}

export function nextListingMs(state: states.State): number {
  const { hasListed, asks, instances, lastListingAtMs } = state;
  if (hasListed && asks.length === 0) return Infinity;
  const leastMs = asks.length > 0 ? MIN_INTERVAL_MS : START_INTERVAL_MS;
  return lastListingAtMs + Math.max(leastMs, (instances * 1_000) / ALL_LISTINGS_PER_S);
}

/** When the first ask has waited for too long. */
export function nextRefusalMs({ asks }: states.State): number {
  return Math.min(...asks.map(({ askedAtMs }) => askedAtMs + LOOKUP_TIMEOUT_MS), Infinity);
}

/** Answers what can be told by now; asks that came before the listing began are then unknown. */
export function onListed(
  state: states.State,
  { result }: platform.PlatformListed,
  now: task.Instant,
): readonly Answer[] {
  const { listing } = state;
  Object.assign(state, { listing: { kind: 'idle' } });
  if (listing.kind === 'idle') return [];
  if (result.kind === 'unavailable') return onUnavailable(state, listing.beganAtMs, now);
  const records = result.objects.flatMap(({ key, value, version }) => {
    const content = record.decode(value);
    return content ? [{ instance: keys.nameOf(key), version, content }] : [];
  });
  records.forEach(({ content }) => serving.applyRecord(state, content, now));
  Object.assign(state, { recorded: merge(records.map(({ content }) => content)) });
  const own = result.objects.find(({ key }) => keys.nameOf(key) === state.instance);
  if (!state.hasListed && own) restoreOwn(state, own, now);
  Object.assign(state, { hasListed: true, recordsReadAtMs: listing.beganAtMs });
  const here = takeAnswers(state, now);
  return [
    ...here,
    ...takeAskedBefore(state, listing.beganAtMs, { kind: 'unknown', gap: 'not-recorded' }),
  ];
}

/** An instance that has not heard of the list for long, either, has lost the store: others may know more. */
function onUnavailable(
  state: states.State,
  beganAtMs: number,
  now: task.Instant,
): readonly Answer[] {
  if (!isListOutdated(state, now)) return [];
  return takeAskedBefore(state, beganAtMs, { kind: 'unknown', gap: 'list-outdated' });
}

function takeAskedBefore(
  state: states.State,
  beganAtMs: number,
  found: origin.Origin,
): readonly Answer[] {
  const taken = state.asks.filter(({ askedAtMs }) => askedAtMs <= beganAtMs);
  Object.assign(state, { asks: state.asks.filter((ask) => !taken.includes(ask)) });
  return taken.map((ask) => ({ ask, origin: found }));
}

function merge(contents: readonly record.Content[]): ReadonlyMap<string, string | undefined> {
  const merged = new Map<string, string | undefined>();
  contents.forEach(({ groups }) =>
    groups.forEach(({ version, streams }) =>
      streams.forEach(([stream]) => {
        const isOther = merged.has(stream) && merged.get(stream) !== version;
        merged.set(stream, isOther ? undefined : version);
      }),
    ),
  );
  return merged;
}

/** The first write of this start replaces the object of the one before, whose streams are still out. */
function restoreOwn(
  state: states.State,
  { value, version: objectVersion }: platform.StoredObject,
  now: task.Instant,
): void {
  const content = writing.setStored(state, objectVersion, value, now);
  Object.assign(state.writing, { hasContent: true });
  content?.groups.forEach(({ service, version, streams }) =>
    streams.forEach(([stream, endsAtWallMs]) => {
      const endsAtMs = now.monotonicMs + endsAtWallMs - now.wallMs;
      if (endsAtMs <= now.monotonicMs || state.streams.has(stream)) return;
      state.streams.set(stream, { service, version, endsAtMs });
    }),
  );
  writing.makeDue(state, now.monotonicMs);
}
