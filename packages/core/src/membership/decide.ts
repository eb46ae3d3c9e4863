/**
 * Tracks the other instances, from the platform's delayed list and from heartbeats. Two relays per
 * data centre exchange heartbeats with the instances there and with one relay of each other data
 * centre, so that no instance sends to the whole fleet.
 */
import type * as task from '../kernel/task.js';
import type * as messages from '../messages/index.js';
import * as results from '../results/index.js';
import * as evidence from './evidence.js';
import * as heartbeatTargets from './heartbeat-targets.js';
import * as relays from './relays.js';
import type * as state from './state.js';

type State = state.State;
type Step = task.Step<State, state.Command>;

export const TICK_MS = 1_000;
/**
 * Delay between two reads, per listed instance. Each read returns the whole list, so long lists are
 * read less often.
 */
export const LIST_PAUSE_PER_INSTANCE_MS = 40;
/** Maximum number of names in one list of a heartbeat. */
const MAX_NAMES = 64;
/** Ticks between two evaluations of evidence, and between two heartbeats to infrequent targets. */
const INFREQUENT_TICKS = 3;
/** A longer gap between two ticks means that this process was paused. */
const STALL_THRESHOLD_MS = 3 * TICK_MS;

export function decide(given: State, message: messages.MembershipMessage, now: task.Instant): Step {
  switch (message.type) {
    case 'task.start':
      return {
        state: { ...given, tickedAtMs: now.monotonicMs, graceUntilMs: graceEnd(now) },
        commands: [{ kind: 'watch-instances', pauseMs: 0 }, { kind: 'schedule-tick' }],
      };
    case 'platform.instances-changed':
      return onList(given, message.instances, now);
    case 'membership.heartbeat-received':
      return onHeartbeat(given, message.heartbeat, now);
    case 'membership.configuration-confirmed': {
      const { generation, confirmedAtMs } = message;
      return {
        state: { ...given, generation, configurationConfirmedAtMs: confirmedAtMs },
        commands: [],
      };
    }
    case 'membership.tick':
      return onTick(given, now);
    case 'peers.digest-received':
    case 'task.drain':
    case 'task.stop':
      return { state: given, commands: [] };
    default:
      return results.assertNever(message);
  }
}

function graceEnd(now: task.Instant): number {
  return now.monotonicMs + evidence.HEARTBEAT_TIMEOUT_MS;
}

/**
 * Removes instances that are no longer listed. New ones get a grace period for a first heartbeat.
 */
function onList(given: State, listed: readonly messages.ListedInstance[], now: task.Instant): Step {
  const known = new Set(given.listed.map(({ name }) => name));
  const hasNewcomers = listed.some(({ name }) => !known.has(name));
  const names = new Set(listed.map(({ name }) => name));
  [...given.heard.keys()]
    .filter((name) => !names.has(name))
    .forEach((name) => given.heard.delete(name));
  const graceUntilMs = hasNewcomers ? graceEnd(now) : given.graceUntilMs;
  const step = publishIfChanged({ ...given, listed, graceUntilMs }, now);
  if (listed.length === given.listed.length) return step;
  const pauseMs = listed.length * LIST_PAUSE_PER_INSTANCE_MS;
  return { state: step.state, commands: [...step.commands, { kind: 'watch-instances', pauseMs }] };
}

function onHeartbeat(given: State, heartbeat: messages.Heartbeat, now: task.Instant): Step {
  const { from, incarnation, sequence, silent = [], cut = [], generation, ageMs } = heartbeat;
  const isListed = isKnown(given, from);
  const before = given.heard.get(from);
  if (!isListed || isOutdated(before, heartbeat)) return { state: given, commands: [] };
  const isRestarted = before !== undefined && before.incarnation !== incarnation;
  const heard: state.ReceivedHeartbeat = {
    incarnation,
    previousIncarnation: isRestarted ? before.incarnation : (before?.previousIncarnation ?? ''),
    sequence,
    atMs: now.monotonicMs,
    silent: new Set(silent.slice(0, MAX_NAMES)),
    cut: new Set(cut.slice(0, MAX_NAMES)),
  };
  given.heard.set(from, heard);
  return {
    state: given,
    commands: [{ kind: 'report-peer-confirmation', from, generation, ageMs }],
  };
}

function isKnown({ heard, listed }: State, from: string): boolean {
  return heard.has(from) || listed.some(({ name }) => name === from);
}

/**
 * Detects delayed or repeated heartbeats: of the previous incarnation, or not newer than the last.
 */
function isOutdated(
  before: state.ReceivedHeartbeat | undefined,
  { incarnation, sequence }: messages.Heartbeat,
): boolean {
  if (!before) return false;
  if (incarnation === before.incarnation) return sequence <= before.sequence;
  return incarnation === before.previousIncarnation;
}

/**
 * After a pause, this process handles outdated messages first. A new grace period keeps it from
 * marking instances silent before it has received current heartbeats.
 */
function onTick(given: State, now: task.Instant): Step {
  const wasPaused = now.monotonicMs - given.tickedAtMs > STALL_THRESHOLD_MS;
  const sequence = given.sequence + 1;
  const ticked: State = {
    ...given,
    sequence,
    tickedAtMs: now.monotonicMs,
    graceUntilMs: wasPaused ? graceEnd(now) : given.graceUntilMs,
  };
  const isEvaluationDue = sequence % INFREQUENT_TICKS === 0;
  const published = isEvaluationDue
    ? publishIfChanged(ticked, now)
    : { state: ticked, commands: [] };
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
  const near = relays.liveNames(members, given.ownDataCentre);
  const own = relays.selectRelays(given.ownDataCentre, [...near, given.ownName]);
  const isRelay = own.includes(given.ownName);
  const changed: State = { ...given, members, isRelay };
  const to = isRelay ? heartbeatTargets.forRelay(changed, own) : heartbeatTargets.forNonRelay(own);
  const publish: state.Command = { kind: 'publish', members };
  const next: State = { ...changed, targets: to };
  return { state: next, commands: [publish] };
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
  const { frequent, infrequent } = given.targets;
  const to = given.sequence % INFREQUENT_TICKS === 0 ? [...frequent, ...infrequent] : frequent;
  if (to.length === 0) return [];
  const { generation, configurationConfirmedAtMs } = given;
  const ageMs =
    configurationConfirmedAtMs === undefined
      ? undefined
      : Math.round(now.monotonicMs - configurationConfirmedAtMs);
  const heartbeat: messages.Heartbeat = {
    kind: 'heartbeat',
    from: given.ownName,
    incarnation: given.incarnation,
    sequence: given.sequence,
    generation,
    ageMs,
    ...(given.isRelay ? unreachableReport(given.members) : {}),
  };
  return [{ kind: 'heartbeat', to, heartbeat }];
}

/**
 * Instances that this relay receives no heartbeats from; a wholly silent data centre by its name.
 */
function unreachableReport(
  members: readonly messages.Member[],
): Pick<messages.Heartbeat, 'silent' | 'cut'> {
  const silent = members.filter(({ evidence: found }) => found === 'silent');
  if (silent.length === 0) return {};
  const heard = new Set(
    members.filter(({ evidence: found }) => found !== 'silent').map(({ dataCentre }) => dataCentre),
  );
  const cut = new Set(
    silent.map(({ dataCentre }) => dataCentre).filter((name) => !heard.has(name)),
  );
  const single = silent.filter(({ dataCentre }) => !cut.has(dataCentre)).map(({ name }) => name);
  return { silent: single.slice(0, MAX_NAMES), cut: [...cut].slice(0, MAX_NAMES) };
}
