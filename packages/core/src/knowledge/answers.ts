/**
 * Decisions of the watch of each kind of object: lists the kind page by page, then watches from the
 * list's revision. An expired revision starts a new listing; failures are retried with backoff and
 * jitter.
 */
import type * as task from '../kernel/task.js';
import type * as platform from '../messages/platform.js';
import * as results from '../results/index.js';
import * as backoff from './backoff.js';
import * as failedCalls from './failed-calls.js';
import * as gaps from './gaps.js';
import * as relisting from './relisting.js';
import * as significant from './significant.js';
import * as updates from './updates.js';
import * as versions from './versions.js';
import * as watches from './watches.js';

export function decide(
  state: watches.State,
  message: watches.Message,
  now: task.Instant,
): watches.Step {
  const watch = state.watches.get(message.kind);
  if (!watch || state.isStopped) return { state, commands: [] };
  if (message.type !== 'watch.set-pace' && message.run !== watch.run) {
    return { state, commands: [] };
  }
  switch (message.type) {
    case 'watch.timer-fired': {
      if (isWaitingForReader(state, watch)) {
        return { state: watches.withWatch(state, { ...watch, isCatchingUp: false }), commands: [] };
      }
      // After a failed call, what has been missed is asked for before anything is waited for.
      const waitMs = watch.failures > 0 ? watches.WITHOUT_WAIT_MS : watch.pace.waitMs;
      const refetched = watches.withSendTime(watch, now, waitMs);
      return {
        state: watches.withWatch(state, refetched),
        commands: [watches.fetchCommand(refetched)],
      };
    }
    case 'watch.set-pace':
      return watches.setPace(state, message.kind, message.pace);
    case 'watch.answered':
      return onAnswer(state, watch, message.answer, now);
    default:
      return results.assertNever(message);
  }
}

function isWaitingForReader({ isRelayed }: watches.State, { position }: watches.Watch): boolean {
  return isRelayed && position.kind === 'watching';
}

function onAnswer(
  state: watches.State,
  watch: watches.Watch,
  answer: watches.Answer,
  now: task.Instant,
): watches.Step {
  switch (answer.kind) {
    case 'page':
      return onPage(markAvailable(state, now), watch, answer, now);
    case 'updates':
      return onUpdates(markAvailable(state, now), watch, answer, now);
    case 'revision-expired':
      return onExpired(markAvailable(state, now), watch, now);
    case 'failed':
      return failedCalls.onFailed(state, watch, answer.failure, now);
    default:
      return results.assertNever(answer);
  }
}

function relist(
  { state, commands }: watches.Step,
  watch: watches.Watch,
  now: task.Instant,
): watches.Step {
  const relisted: watches.Watch = {
    ...watch,
    failures: 0,
    position: watches.startOfListing(now),
  };
  return {
    state: watches.withWatch(state, relisted),
    commands: [...commands, watches.fetchCommand(relisted)],
  };
}

/** A platform that has no history at all is not listed over and over at the pace of its answers. */
function onExpired(
  { state, commands }: watches.Step,
  watch: watches.Watch,
  now: task.Instant,
): watches.Step {
  const { kind: objectKind, reached: revision } = watch;
  if (!watch.gap) {
    const lost: watches.Command = { kind: 'record-history-lost', objectKind, revision };
    const gap = gaps.begin(revision, now);
    return relist({ state, commands: [...commands, lost] }, { ...watch, gap }, now);
  }
  const waiting: watches.Watch = { ...watch, position: watches.startOfListing(now) };
  return listLater({ state, commands }, waiting, watch.gap.listings);
}

/** `attempts`: how often in a row a listing was of no use. */
function listLater(
  { state, commands }: watches.Step,
  watch: watches.Watch,
  attempts: number,
): watches.Step {
  const { kind: objectKind, run } = watch;
  const delayMs = backoff.delayMs(state.instance, objectKind, attempts);
  return {
    state: watches.withWatch(state, watch),
    commands: [...commands, { kind: 'poll-later', objectKind, run, delayMs }],
  };
}

/** Whether the store came back from an old copy between two pages, which do not belong together. */
function isOfLaterEra(found: readonly platform.StoredObject[], revision: number): boolean {
  const era = versions.eraOf(revision);
  return found.some(({ version }) => versions.eraOf(version) !== era);
}

function markAvailable(state: watches.State, now: task.Instant): watches.Step {
  if (state.isAvailable) return { state, commands: [] };
  const awayMs = Math.round(now.monotonicMs - state.unavailableSinceMs);
  return { state: { ...state, isAvailable: true }, commands: [{ kind: 'record-back', awayMs }] };
}

function onPage(
  { state, commands }: watches.Step,
  watch: watches.Watch,
  { objects, revision: lastRevision, after }: Extract<watches.Answer, { kind: 'page' }>,
  now: task.Instant,
): watches.Step {
  if (watch.position.kind !== 'listing') return { state, commands };
  if (isOfLaterEra(watch.position.found, lastRevision)) {
    return relist({ state, commands }, watch, now);
  }
  const found = [...watch.position.found, ...objects];
  const { askedAt, revision = lastRevision } = watch.position;
  if (after !== undefined) {
    const more: watches.Watch = {
      ...watch,
      failures: 0,
      position: { ...watch.position, found, after, revision },
    };
    return {
      state: watches.withWatch(state, more),
      commands: [...commands, watches.fetchCommand(more)],
    };
  }
  if (revision < watch.reached) return onPageBehind({ state, commands }, watch, revision);
  const copyUntilMs = isKnownOfEarlierEra(watch, revision)
    ? now.monotonicMs + versions.RESTORED_MS
    : watch.copyUntilMs;
  const told = updates.toCommands(watch, {
    objects: found,
    removed: [],
    isSnapshot: true,
    isFromCopy: now.monotonicMs < copyUntilMs,
    askedAt,
    unchangedAt: watch.unchangedAt,
  });
  const shared = relisting.changesOf(state, watch, found, revision);
  const next: watches.Watch = {
    ...watch,
    failures: 0,
    confirmedAt: askedAt,
    unchangedAt: askedAt,
    changedAt: shared.changedAt,
    copyUntilMs,
    known: significant.ofSnapshot(watch.pace, found),
    isCatchingUp: false,
    gap: gaps.withListing(watch.gap, revision),
    position: { kind: 'watching', askedAt: now, revision, waitMs: watch.pace.waitMs },
  };
  const positions = watches.positionCommands(next, askedAt);
  if (state.isRelayed) {
    // The next watch may be a long time away.
    return {
      state: watches.withWatch(state, { ...next, gap: undefined }),
      commands: [...commands, ...gaps.recordRegained(next, now), ...told, ...positions],
    };
  }
  return {
    state: watches.withWatch(state, next),
    commands: [...commands, ...told, ...shared.commands, ...positions, watches.fetchCommand(next)],
  };
}

/** What is known is not replaced by what was there before it. */
function onPageBehind(
  { state, commands }: watches.Step,
  watch: watches.Watch,
  revision: number,
): watches.Step {
  const { kind: objectKind, position, reached } = watch;
  const failures = watch.failures + 1;
  const behind: watches.Command = {
    kind: 'record-behind',
    objectKind,
    revisions: reached - revision,
  };
  const again = { ...watch, failures, position: watches.startOfListing(position.askedAt) };
  return listLater({ state, commands: [...commands, behind] }, again, failures);
}

function isKnownOfEarlierEra({ changedAt }: watches.Watch, revision: number): boolean {
  return changedAt > 0 && versions.eraOf(changedAt) < versions.eraOf(revision);
}

function onUpdates(
  { state, commands }: watches.Step,
  watch: watches.Watch,
  answer: Extract<watches.Answer, { kind: 'updates' }>,
  now: task.Instant,
): watches.Step {
  if (watch.position.kind !== 'watching') return { state, commands };
  const { objects: read, removed, revision } = withoutKnown(watch.position, answer);
  const { askedAt, waitMs } = watch.position;
  const { objects, known } = significant.select(watch.pace, watch.known, read, removed);
  const { unchangedAt } = watch;
  const told = updates.toCommands(watch, {
    objects,
    removed,
    isSnapshot: false,
    askedAt,
    unchangedAt,
  });
  const reached = Math.max(revision, watch.position.revision);
  const hasChanges = objects.length + removed.length > 0;
  const next: watches.Watch = {
    ...watch,
    failures: 0,
    confirmedAt: askedAt,
    unchangedAt: watches.answeredAsOf(waitMs, askedAt, read.length + removed.length > 0, now),
    known,
    changedAt: hasChanges ? reached : watch.changedAt,
    isCatchingUp: false,
    gap: undefined,
    position: { kind: 'watching', askedAt: now, revision: reached, waitMs: watch.pace.waitMs },
  };
  const changes = { objectKind: watch.kind, since: watch.changedAt, revision: reached };
  const shared: readonly watches.Command[] =
    hasChanges && watch.pace.relaysContent && !state.isRelayed
      ? [{ kind: 'share-changes', changes: { ...changes, objects, removed } }]
      : [];
  return {
    state: watches.withWatch(state, next),
    commands: [
      ...commands,
      ...gaps.recordRegained(watch, now),
      ...told,
      ...shared,
      ...watches.positionCommands(next, askedAt),
      ...nextPoll(state, next, read.length + removed.length > 0),
    ],
  };
}

/** A reader may have told later changes while the answer was on its way; it then only confirms. */
function withoutKnown(
  position: watches.Position,
  answer: Extract<watches.Answer, { kind: 'updates' }>,
): Extract<watches.Answer, { kind: 'updates' }> {
  const isKnown = position.kind === 'watching' && answer.revision < position.revision;
  return isKnown ? { ...answer, objects: [], removed: [] } : answer;
}

/** After events, the pause of the kind gathers further ones. */
function nextPoll(
  state: watches.State,
  watch: watches.Watch,
  hasEvents: boolean,
): readonly watches.Command[] {
  if (state.isRelayed) return [];
  const { kind: objectKind, run, pace } = watch;
  return hasEvents && pace.pauseMs > 0
    ? [{ kind: 'poll-later', objectKind, run, delayMs: pace.pauseMs }]
    : [watches.fetchCommand(watch)];
}
