/**
 * Decides which instance reads for this one. An instance asks the candidate of its group that ranks
 * first among those that answer; without one it reads for itself. There is no election: an instance
 * that is asked tells what it knows, and with it the age of its knowledge.
 *
 * The age of what a peer tells counts from when this instance sent its own question, plus the age that
 * the peer gives. So no delay on the way, and no pause of either process, makes knowledge look newer
 * than it is.
 */
import * as staleness from '../gateway/staleness.js';
import type * as task from '../kernel/task.js';
import type * as messages from '../messages/readers.js';
import * as results from '../results/index.js';
import * as audiences from './audiences.js';
import * as groups from './groups.js';
import * as pieces from './pieces.js';
import type * as readers from './state.js';
import * as storeBatch from './store-batch.js';

type State = readers.State;
type Step = readers.Step;
type MessageOf<Type extends messages.ReadersMessage['type']> = Extract<
  messages.ReadersMessage,
  { type: Type }
>;

/** Interval of questions, as a share of the adoption bound: several fit into it after a failure. */
const INTERVAL_SHARE = 0.1;
/** A candidate that has not answered for this many intervals is given up. */
const MISSED_INTERVALS = 3.5;
/** Oldest confirmation, as a share of the adoption bound, with which an instance begins to follow a candidate. */
const MAX_AGE_SHARE = 0.75;
/**
 * The same for the reader that it follows. A follower asks the platform itself where one kind is too old; if
 * it left its reader sooner, all followers would read all kinds at the same moment whenever the platform
 * has not answered for two seconds.
 */
const MAX_READER_AGE_SHARE = 1.5;
/** Intervals between questions to candidates that are not the source, to return to a better one. */
const OTHER_CANDIDATE_INTERVALS = 6;
/** The same while this instance reads for itself. */
const CANDIDATE_INTERVALS = 2;
/** An instance that lost its reader reads for itself for so long; it would often lose it again soon. */
const OWN_READING_INTERVALS = 5;
/** A follower that has not asked for this many intervals has gone or asks another instance. */
const FOLLOWER_INTERVALS = 6;

export function decide(state: State, message: messages.ReadersMessage, now: task.Instant): Step {
  switch (message.type) {
    case 'task.start':
      return {
        state,
        commands: [sourceCommand(state), { kind: 'schedule-tick', delayMs: intervalMs(state) }],
      };
    case 'readers.members-changed':
      return onGroupsChanged({ ...state, members: message.members }, now);
    case 'readers.limit-changed':
      return onGroupsChanged({ ...state, maxReaders: message.maxReaders }, now);
    case 'readers.asked':
      return onAsked(state, message, now);
    case 'readers.answered':
      return onAnswered(state, message, now);
    case 'readers.position-confirmed': {
      const { position } = message;
      const positions = new Map(state.positions).set(position.objectKind, position);
      return { state: { ...state, positions }, commands: [] };
    }
    case 'readers.changes-read':
      return {
        state,
        commands: pieces
          .split(message.changes)
          .flatMap((changes) => toFollowers(state, { kind: 'changes', changes })),
      };
    case 'readers.changes-received':
      return state.source.kind === 'peer'
        ? { state, commands: [{ kind: 'apply-changes', changes: message.changes }] }
        : { state, commands: [] };
    case 'readers.store-read':
      return onStoreRead(state, message);
    case 'readers.tick':
      return onTick(state, now);
    case 'task.drain':
    case 'task.stop':
      return { state, commands: [] };
    default:
      return results.assertNever(message);
  }
}

function onStoreRead(state: State, { store, update }: MessageOf<'readers.store-read'>): Step {
  if (state.followers.size === 0) return { state, commands: [] };
  const batch = storeBatch.add(state.storeBatch, store, update);
  return { state: { ...state, storeBatch: batch }, commands: [] };
}

export function intervalMs({ adoptionMs }: State): number {
  return adoptionMs * INTERVAL_SHARE;
}

function onGroupsChanged(state: State, now: task.Instant): Step {
  const divided = groups.divide(state.name, state.members, state.maxReaders);
  const next = { ...state, groups: divided };
  const step = chooseSource(state, next, now);
  return { state: step.state, commands: [...step.commands, ...askDue(step.state, now, 1)] };
}

function onAsked(
  state: State,
  { from, question }: MessageOf<'readers.asked'>,
  now: task.Instant,
): Step {
  const positions = [...state.positions.values()].map(({ askedAt, ...position }) => ({
    ...position,
    ageMs: Math.max(0, Math.ceil(staleness.ageMs(askedAt, now))),
  }));
  const answer = { kind: 'answer' as const, from: state.name, question, positions };
  const isNew = !state.followers.has(from);
  const next = { ...state, followers: new Map(state.followers).set(from, now.monotonicMs) };
  return {
    state: next,
    commands: [
      { kind: 'send', update: answer, to: [from] },
      ...(isNew ? [audiencesCommand(next)] : []),
    ],
  };
}

function onAnswered(
  state: State,
  { from, question, positions }: MessageOf<'readers.answered'>,
  now: task.Instant,
): Step {
  if (question.incarnation !== state.incarnation) return { state, commands: [] };
  const waitedMs = staleness.ageMs(question.sentAt, now);
  const newestMs = Math.min(...positions.map(({ ageMs }) => ageMs)) + waitedMs;
  const known = state.heard.get(from);
  const knownMs = known ? known.ageMs + now.monotonicMs - known.atMs : Infinity;
  // An answer shows that the candidate lives, also if it confirms nothing new.
  const heard = { atMs: now.monotonicMs, ageMs: Math.min(newestMs, knownMs) };
  const step = chooseSource(state, { ...state, heard: new Map(state.heard).set(from, heard) }, now);
  if (step.state.source.kind !== 'peer' || step.state.source.name !== from) return step;
  const confirmed = positions.map(({ ageMs, ...position }) => ({
    ...position,
    askedAt: {
      monotonicMs: question.sentAt.monotonicMs - ageMs,
      wallMs: question.sentAt.wallMs - ageMs,
    },
  }));
  return {
    state: step.state,
    commands: [...step.commands, { kind: 'confirm', positions: confirmed }],
  };
}

function onTick(given: State, now: task.Instant): Step {
  const followers = new Map(
    [...given.followers].filter(
      ([, askedAtMs]) => now.monotonicMs - askedAtMs < FOLLOWER_INTERVALS * intervalMs(given),
    ),
  );
  const updates = storeBatch.split(given.storeBatch);
  const next = { ...given, followers, storeBatch: new Map(), ticks: given.ticks + 1 };
  const step = chooseSource(given, next, now);
  return {
    state: step.state,
    commands: [
      ...step.commands,
      ...(followers.size === given.followers.size ? [] : [audiencesCommand(step.state)]),
      ...updates.flatMap((each) => toFollowers(next, { kind: 'stores', updates: each })),
      ...askDue(step.state, now, step.state.ticks),
      { kind: 'schedule-tick', delayMs: intervalMs(given) },
    ],
  };
}

type Relayed =
  | { kind: 'changes'; changes: messages.WatchChanges }
  | { kind: 'stores'; updates: ReturnType<typeof storeBatch.split>[number] };

/** Only what this instance has read itself is passed on, so nothing circulates. */
function toFollowers(state: State, relayed: Relayed): readonly readers.Command[] {
  if (state.source.kind !== 'self' || state.followers.size === 0) return [];
  const update = { ...relayed, from: state.name };
  return [{ kind: 'send', update, to: [...state.followers.keys()] }];
}

/** Questions that are due at this tick. */
function askDue(state: State, now: task.Instant, tick: number): readonly readers.Command[] {
  const { source, groups: divided } = state;
  const everyOther = source.kind === 'peer' ? OTHER_CANDIDATE_INTERVALS : CANDIDATE_INTERVALS;
  const due = divided.candidates.filter(
    (name) =>
      (source.kind === 'peer' && source.name === name) ||
      source.kind === 'undecided' ||
      tick % everyOther === 0,
  );
  if (due.length === 0) return [];
  const question = { incarnation: state.incarnation, sentAt: now };
  return [{ kind: 'send', update: { kind: 'question', from: state.name, question }, to: due }];
}

/** The best candidate whose knowledge is fresh enough, or else this instance itself. */
function chooseSource(before: State, state: State, now: task.Instant): Step {
  const source = sourceOf(state, now);
  const hasLostReader = before.source.kind === 'peer' && source.kind === 'self';
  const lostReaderAtMs = hasLostReader ? now.monotonicMs : state.lostReaderAtMs;
  const next = { ...state, source, lostReaderAtMs };
  const isSame =
    before.groups === state.groups &&
    source.kind === before.source.kind &&
    (source.kind !== 'peer' || before.source.kind !== 'peer' || source.name === before.source.name);
  if (isSame) return { state: next, commands: [] };
  return { state: next, commands: [sourceCommand(next), audiencesCommand(next)] };
}

function sourceOf(state: State, now: task.Instant): readers.Source {
  const { source, groups: divided } = state;
  const readsAloneUntilMs = state.lostReaderAtMs + OWN_READING_INTERVALS * intervalMs(state);
  if (source.kind === 'self' && now.monotonicMs < readsAloneUntilMs) return source;
  const name = divided.candidates.find((each) => isOfUse(state, each, now));
  if (name !== undefined) return { kind: 'peer', name };
  const isRankedFirst = divided.isShared && divided.candidates.length === 0;
  const mayWait =
    source.kind === 'undecided' &&
    !isRankedFirst &&
    now.monotonicMs - source.sinceMs < MISSED_INTERVALS * intervalMs(state);
  return mayWait ? source : { kind: 'self' };
}

/** Whether a candidate has answered lately, and from fresh knowledge. */
function isOfUse(state: State, candidate: string, now: task.Instant): boolean {
  const { source, adoptionMs } = state;
  const heard = state.heard.get(candidate);
  if (!heard) return false;
  const isReader = source.kind === 'peer' && source.name === candidate;
  const maxAgeMs = adoptionMs * (isReader ? MAX_READER_AGE_SHARE : MAX_AGE_SHARE);
  const silentMs = now.monotonicMs - heard.atMs;
  return silentMs < MISSED_INTERVALS * intervalMs(state) && heard.ageMs + silentMs < maxAgeMs;
}

function sourceCommand(state: State): readers.Command {
  const { source, name } = state;
  const isRelayed = source.kind !== 'self';
  const reader = source.kind === 'peer' ? source.name : name;
  return { kind: 'set-source', isRelayed, sharing: audiences.sharingOf(state), reader };
}

function audiencesCommand(state: State): readers.Command {
  return { kind: 'set-audiences', audiences: audiences.audiencesOf(state) };
}
