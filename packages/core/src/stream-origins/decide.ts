/**
 * Decides at which software version a stream began. What two versions write does not fit together, so a
 * stream goes on only at its own; one whose version cannot be told does not go on.
 */
import * as staleness from '../gateway/staleness.js';
import type * as task from '../kernel/task.js';
import type * as messages from '../messages/stream-origins.js';
import * as results from '../results/index.js';
import * as beginnings from './beginnings.js';
import * as lookups from './lookups.js';
import type * as origin from './origin.js';
import type * as record from './record.js';
import * as serving from './serving.js';
import * as states from './state.js';
import * as writing from './writing.js';

export type Command =
  | { kind: 'list'; timeoutMs: number }
  | { kind: 'write'; content: record.Content; expectedVersion: number }
  | { kind: 'answer'; ask: states.Ask; origin: origin.Origin; basis: origin.Basis }
  | { kind: 'tell-beginnings'; beginnings: beginnings.Beginnings }
  | { kind: 'record-versions'; service: string; versions: readonly string[] }
  | { kind: 'wake'; afterMs: number };

export type Step = task.Step<states.State, Command>;

export function initial(instance: string, isFirstStart: boolean): states.State {
  return states.initial(instance, isFirstStart);
}

/** Updates the state in place. */
export function decide(
  state: states.State,
  message: messages.StreamOriginsMessage,
  now: task.Instant,
): Step {
  const before = countVersions(state);
  const answers = apply(state, message, now);
  dropEnded(state, now);
  beginnings.establish(state, now);
  const told = beginnings.takeChange(state, now);
  const changes = versionChanges(state, before);
  if (changes.length > 0) writing.makeVersionsDue(state, now);
  const all = [...answers, ...lookups.takeAnswers(state, now)];
  const commands: Command[] = [
    ...(told ? [{ kind: 'tell-beginnings' as const, beginnings: told }] : []),
    ...changes,
    ...all.map((each): Command => ({ kind: 'answer', ...each, basis: basisOf(state, each, now) })),
  ];
  if (message.type === 'task.stop') return { state, commands };
  if (lookups.takeListing(state, now)) {
    commands.push({ kind: 'list', timeoutMs: lookups.LISTING_TIMEOUT_MS });
  }
  const due = writing.takeDue(state, now);
  if (due) commands.push({ kind: 'write', ...due });
  const wakeAtMs = nextMs(state, now);
  if (wakeAtMs < Infinity) {
    commands.push({ kind: 'wake', afterMs: Math.max(1, Math.ceil(wakeAtMs - now.monotonicMs)) });
  }
  return { state, commands };
}

function apply(
  state: states.State,
  message: messages.StreamOriginsMessage,
  now: task.Instant,
): readonly lookups.Answer[] {
  switch (message.type) {
    case 'stream-origins.upstreams-listed':
      serving.applyList(state, message.update, message.askedAt, now);
      return [];
    case 'stream-origins.routes-adopted':
      Object.assign(state, { longestStreamMs: message.longestStreamMs });
      return [];
    case 'stream-origins.members-changed':
      Object.assign(state, { instances: Math.max(1, message.instances) });
      return [];
    case 'stream-origins.begun':
      begin(state, message, now);
      return [];
    case 'stream-origins.find': {
      const { requestId, stream, service, replyTo } = message;
      state.asks.push({ requestId, stream, service, replyTo, askedAtMs: now.monotonicMs });
      return [];
    }
    case 'platform.listed':
      return lookups.onListed(state, message, now);
    case 'platform.answered':
      writing.onAnswered(state, message.answer, now);
      return [];
    case 'stream-origins.wake':
    case 'task.start':
    case 'task.drain':
    case 'task.stop':
      return [];
    default:
      return results.assertNever(message);
  }
}

function begin(
  state: states.State,
  {
    stream,
    service,
    version,
    endsAtMs,
  }: Extract<messages.StreamOriginsMessage, { type: 'stream-origins.begun' }>,
  now: task.Instant,
): void {
  state.streams.set(stream, { service, version, endsAtMs });
  serving.extend(state, service, version, endsAtMs);
  if (serving.areSeveral(state, service, now)) writing.makeDue(state, now.monotonicMs);
}

function dropEnded(state: states.State, now: task.Instant): void {
  serving.dropEnded(state, now);
  // Streams end about in the order in which they began.
  for (const [stream, { endsAtMs }] of state.streams) {
    if (endsAtMs > now.monotonicMs) break;
    state.streams.delete(stream);
  }
}

/** Taken after the answer, so a listing that gave it counts. */
function basisOf(
  { listedAt, recordsReadAtMs, serving: all }: states.State,
  { ask: { service, askedAtMs } }: lookups.Answer,
  now: task.Instant,
): origin.Basis {
  return {
    listAgeMs: listedAt ? Math.round(staleness.ageMs(listedAt, now)) : undefined,
    hasReadRecords: recordsReadAtMs >= askedAtMs,
    versions: [...(all.get(service)?.keys() ?? [])],
  };
}

function countVersions({ serving: all }: states.State): ReadonlyMap<string, number> {
  return new Map([...all].map(([service, versions]) => [service, versions.size]));
}

/** Services that came to have several versions, or one again. */
function versionChanges(
  { serving: all }: states.State,
  before: ReadonlyMap<string, number>,
): readonly Command[] {
  return [...all].flatMap(([service, versions]): readonly Command[] => {
    const wereSeveral = (before.get(service) ?? 0) > 1;
    const areSeveral = versions.size > 1;
    if (versions.size === (before.get(service) ?? 0) || (!wereSeveral && !areSeveral)) return [];
    return [{ kind: 'record-versions', service, versions: [...versions.keys()] }];
  });
}

function nextMs(state: states.State, now: task.Instant): number {
  const isIdle = state.listing.kind === 'idle';
  return Math.min(
    state.writing.isUnderWay || !state.hasListed ? Infinity : state.writing.dueAtMs,
    isIdle ? lookups.nextListingMs(state) : Infinity,
    lookups.nextRefusalMs(state),
    serving.nextEndMs(state, now),
  );
}
