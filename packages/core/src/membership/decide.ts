/**
 * Which other instances there are, from the platform's lagging list and from what they say. Two
 * relays of each data centre exchange heartbeats with its instances and with one relay of each other
 * data centre, so that nobody sends to the whole fleet.
 */
import type * as task from '../kernel/task.js';
import type * as messages from '../messages/index.js';
import * as results from '../results/index.js';
import * as evidence from './evidence.js';
import * as relays from './relays.js';
import type * as state from './state.js';

type State = state.State;
type Step = task.Step<State, state.Command>;

export const TICK_MS = 1_000;
/** Instances that do not relay read the platform's list this seldom. */
export const LIST_PAUSE_MS = 15_000;
/** Longest list of names in a heartbeat. */
const MAX_NAMES = 64;
/** Heartbeats to relays, and between data centres, are sent every second tick. */
const SLOW_TICKS = 2;
/** A longer gap between two ticks means that this process stood still. */
const PAUSE_MS = 3 * TICK_MS;

export function decide(given: State, message: messages.MembershipMessage, now: task.Instant): Step {
  switch (message.type) {
    case 'task.start':
      return {
        state: { ...given, tickedAtMs: now.monotonicMs, graceUntilMs: graceEnd(now) },
        commands: [{ kind: 'watch-instances', pauseMs: 0 }, { kind: 'schedule-tick' }],
      };
    case 'platform.instances-changed':
      return onList(given, message.instances, now);
    case 'membership.heard':
      return onHeard(given, message.heartbeat, now);
    case 'membership.confirmed': {
      const { generation, confirmedAtMs } = message;
      return { state: { ...given, generation, confirmedAtMs }, commands: [] };
    }
    case 'membership.tick':
      return onTick(given, now);
    case 'peers.digest-received':
    case 'task.leave':
    case 'task.stop':
      return { state: given, commands: [] };
    default:
      return results.never(message);
  }
}

function graceEnd(now: task.Instant): number {
  return now.monotonicMs + evidence.HEARD_WITHIN_MS;
}

/** Forgets instances that have left the list; its newcomers get time to be heard. */
function onList(given: State, listed: readonly messages.ListedInstance[], now: task.Instant): Step {
  const known = new Set(given.listed.map(({ name }) => name));
  const hasNewcomers = listed.some(({ name }) => !known.has(name));
  const heard = Object.fromEntries(
    listed.flatMap(({ name }) => {
      const found = given.heard[name];
      return found ? [[name, found] as const] : [];
    }),
  );
  const graceUntilMs = hasNewcomers ? graceEnd(now) : given.graceUntilMs;
  return publishIfChanged({ ...given, listed, heard, graceUntilMs }, now);
}

function onHeard(given: State, heartbeat: messages.Heartbeat, now: task.Instant): Step {
  const { from, incarnation, sequence, silent, cut, generation, ageMs } = heartbeat;
  const isListed = given.listed.some(({ name }) => name === from);
  const before = given.heard[from];
  if (!isListed || isOutdated(before, heartbeat)) return { state: given, commands: [] };
  const isRestarted = before !== undefined && before.incarnation !== incarnation;
  const heard: state.Heard = {
    incarnation,
    formerIncarnation: isRestarted ? before.incarnation : (before?.formerIncarnation ?? ''),
    sequence,
    atMs: now.monotonicMs,
    silent: silent.slice(0, MAX_NAMES),
    cut: cut.slice(0, MAX_NAMES),
  };
  return {
    state: { ...given, heard: { ...given.heard, [from]: heard } },
    commands: [{ kind: 'report-confirmed', from, generation, ageMs }],
  };
}

/** Delayed or repeated: of a former incarnation, or not later than the last one. */
function isOutdated(
  before: state.Heard | undefined,
  { incarnation, sequence }: messages.Heartbeat,
): boolean {
  if (!before) return false;
  if (incarnation === before.incarnation) return sequence <= before.sequence;
  return incarnation === before.formerIncarnation;
}

/** A process that stood still hears the past first; it judges nobody until it has heard anew. */
function onTick(given: State, now: task.Instant): Step {
  const wasPaused = now.monotonicMs - given.tickedAtMs > PAUSE_MS;
  const sequence = given.sequence + 1;
  const ticked: State = {
    ...given,
    sequence,
    tickedAtMs: now.monotonicMs,
    graceUntilMs: wasPaused ? graceEnd(now) : given.graceUntilMs,
  };
  const published = publishIfChanged(ticked, now);
  return {
    state: published.state,
    commands: [
      ...published.commands,
      ...heartbeats(published.state, now),
      { kind: 'schedule-tick' },
    ],
  };
}

function publishIfChanged(given: State, now: task.Instant): Step {
  const members = evidence.membersOf(given, now.monotonicMs);
  if (isSame(members, given.members)) return { state: given, commands: [] };
  const chosen = relays.relaysOf(given.ownDataCentre, [
    ...relays.liveIn(members, given.ownDataCentre),
    given.ownName,
  ]);
  const isRelay = chosen.includes(given.ownName);
  const publish: state.Command = { kind: 'publish', members };
  const state = { ...given, members, isRelay };
  if (isRelay === given.isRelay) return { state, commands: [publish] };
  const pauseMs = isRelay ? 0 : LIST_PAUSE_MS;
  return { state, commands: [publish, { kind: 'watch-instances', pauseMs }] };
}

function isSame(a: readonly messages.Member[], b: readonly messages.Member[]): boolean {
  const isEqual = (one: messages.Member, other: messages.Member | undefined) =>
    one.name === other?.name &&
    one.evidence === other.evidence &&
    one.state === other.state &&
    one.peers === other.peers;
  return a.length === b.length && a.every((each, at) => isEqual(each, b[at]));
}

function heartbeats(given: State, now: task.Instant): readonly state.Command[] {
  const to = receivers(given);
  if (to.length === 0) return [];
  const silent = given.members.filter((each) => each.evidence === 'silent');
  const cut = given.isRelay ? cutDataCentres(given.members) : [];
  const heartbeat: messages.Heartbeat = {
    kind: 'heartbeat',
    from: given.ownName,
    incarnation: given.incarnation,
    sequence: given.sequence,
    generation: given.generation,
    ...(given.confirmedAtMs === undefined
      ? {}
      : { ageMs: Math.round(now.monotonicMs - given.confirmedAtMs) }),
    silent: given.isRelay
      ? silent
          .filter(({ dataCentre }) => !cut.includes(dataCentre))
          .map(({ name }) => name)
          .slice(0, MAX_NAMES)
      : [],
    cut,
  };
  return [{ kind: 'heartbeat', to, heartbeat }];
}

function receivers(given: State): readonly string[] {
  const near = given.members.filter(
    ({ dataCentre, state }) => dataCentre === given.ownDataCentre && state === 'live',
  );
  const isSlowTick = given.sequence % SLOW_TICKS === 0;
  if (!given.isRelay) {
    const chosen = relays.relaysOf(given.ownDataCentre, [
      ...relays.liveIn(given.members, given.ownDataCentre),
      given.ownName,
    ]);
    return isSlowTick ? chosen : [];
  }
  const nearNames = near.map(({ name }) => name);
  return isSlowTick ? [...nearNames, ...farRelays(given)] : nearNames;
}

/** One relay of each other data centre: both sides pair theirs by rank. */
function farRelays(given: State): readonly string[] {
  const { ownDataCentre, ownName, members } = given;
  const own = relays.relaysOf(ownDataCentre, [...relays.liveIn(members, ownDataCentre), ownName]);
  const rank = Math.max(0, own.indexOf(ownName));
  return otherDataCentres(given).flatMap((dataCentre) => {
    const all = members.filter((each) => each.dataCentre === dataCentre).map(({ name }) => name);
    const live = relays.liveIn(members, dataCentre);
    const ranked = relays.relaysOf(dataCentre, live.length > 0 ? live : all);
    const paired = ranked[rank % ranked.length];
    return paired === undefined ? [] : [paired];
  });
}

function otherDataCentres({ members, ownDataCentre }: State): readonly string[] {
  const all = new Set(members.map(({ dataCentre }) => dataCentre));
  return [...all].filter((name) => name !== ownDataCentre);
}

/** Data centres of which every instance is silent. */
function cutDataCentres(members: readonly messages.Member[]): readonly string[] {
  const all = [...new Set(members.map(({ dataCentre }) => dataCentre))];
  return all.filter((name) =>
    members.every((each) => each.dataCentre !== name || each.evidence === 'silent'),
  );
}
