/** When this instance writes its record, and what it holds. */
import * as staleness from '../gateway/staleness.js';
import type * as task from '../kernel/task.js';
import type * as platform from '../messages/platform.js';
import * as results from '../results/index.js';
import * as record from './record.js';
import * as serving from './serving.js';
import type * as states from './state.js';

/** Least time between two writes of one instance. */
const MIN_INTERVAL_MS = 50;
/** Writes a second of all instances together; the platform's store takes some hundred. */
const ALL_WRITES_PER_S = 100;
const RETRY_DELAY_MS = 300;
/** While several versions serve: a record counts for a time after it was written. */
const RENEWAL_MS = 15_000;
/** Streams begin at a recorded version for as long; the record counts until the last of them can be taken up. */
const RECORD_TERM_MS = 30_000;

function intervalMs({ instances }: states.State): number {
  return Math.max(MIN_INTERVAL_MS, (instances * 1_000) / ALL_WRITES_PER_S);
}

export function makeDue(state: states.State, atMs: number): void {
  const { writing } = state;
  const dueAtMs = Math.max(
    Math.min(writing.dueAtMs, atMs),
    (writing.beganAt?.monotonicMs ?? -Infinity) + intervalMs(state),
  );
  Object.assign(writing, { dueAtMs });
}

/** Streams wait for the record of a further version, so it is not spread over all instances like those of streams. */
export function makeVersionsDue({ writing }: states.State, now: task.Instant): void {
  const earliestMs = (writing.beganAt?.monotonicMs ?? -Infinity) + MIN_INTERVAL_MS;
  const dueAtMs = Math.min(writing.dueAtMs, Math.max(now.monotonicMs, earliestMs));
  Object.assign(writing, { dueAtMs });
}

/** The content of a write that is due; nothing is written while each service has one version. */
export function takeDue(
  state: states.State,
  now: task.Instant,
): { content: record.Content; expectedVersion: number } | undefined {
  const { writing } = state;
  // The object may hold streams of the start before, which the first listing restores.
  if (!state.hasListed || writing.isUnderWay || writing.dueAtMs > now.monotonicMs) return undefined;
  const groups = groupsOf(state, now);
  const dueAtMs = groups.length > 0 ? now.monotonicMs + RENEWAL_MS : Infinity;
  Object.assign(writing, { dueAtMs });
  if (groups.length === 0 && !writing.hasContent) return undefined;
  const content = { writtenAtMs: now.wallMs, groups };
  const versionsInWrite = record.versionsIn(content);
  Object.assign(writing, {
    isUnderWay: true,
    beganAt: now,
    hasContent: groups.length > 0,
    recordedVersions: new Set(
      [...writing.recordedVersions].filter((each) => versionsInWrite.has(each)),
    ),
    versionsInWrite,
  });
  return { content, expectedVersion: writing.objectVersion };
}

function groupsOf(state: states.State, now: task.Instant): record.Content['groups'] {
  const services = [...state.serving.keys()].filter((each) => serving.areSeveral(state, each, now));
  return services.flatMap((service) =>
    serving.versionsOf(state, service, now).map((version) => ({
      service,
      version,
      untilMs: serving.countsUntilMs(state, service, version, now),
      streams: streamsOf(state, service, version, now),
    })),
  );
}

function streamsOf(
  { streams }: states.State,
  service: string,
  version: string,
  { monotonicMs, wallMs }: task.Instant,
): [string, number][] {
  return [...streams]
    .filter(([, each]) => each.service === service && each.version === version)
    .filter(([, { endsAtMs }]) => endsAtMs > monotonicMs)
    .map(([stream, { endsAtMs }]) => [stream, Math.round(wallMs + endsAtMs - monotonicMs)]);
}

/** The versions that others find in this instance's record. */
export function recordedVersions(
  { writing }: states.State,
  now: task.Instant,
): ReadonlySet<string> {
  const { recordedAt, recordedVersions: versions } = writing;
  const hasLapsed = !recordedAt || staleness.ageMs(recordedAt, now) > RECORD_TERM_MS;
  return hasLapsed ? new Set() : versions;
}

/** What the store holds of this instance. */
export function setStored(
  state: states.State,
  objectVersion: number,
  value: unknown,
  now: task.Instant,
): record.Content | undefined {
  const content = record.decode(value);
  Object.assign(state.writing, {
    objectVersion,
    recordedVersions: record.versionsIn(content),
    recordedAt: content && record.writtenAt(content, now),
  });
  return content;
}

export function onAnswered(
  state: states.State,
  answer: platform.PlatformAnswer,
  now: task.Instant,
): void {
  const { writing } = state;
  Object.assign(writing, { isUnderWay: false });
  switch (answer.kind) {
    case 'written':
      Object.assign(writing, {
        objectVersion: answer.version,
        recordedVersions: writing.versionsInWrite,
        recordedAt: writing.beganAt,
      });
      return;
    case 'conflict':
      setStored(state, answer.current?.version ?? 0, answer.current?.value, now);
      makeDue(state, now.monotonicMs);
      return;
    case 'object':
    case 'missing':
    case 'unavailable':
      makeDue(state, now.monotonicMs + RETRY_DELAY_MS);
      return;
    default:
      results.assertNever(answer);
  }
}
