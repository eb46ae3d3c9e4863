/**
 * The decisions of the configuration task. An instance takes a generation higher than its own and
 * nothing else, from the platform or from a peer, so that a slow watch, a stale relay or a restart
 * cannot revert it. Few instances of a data centre watch the platform and relay changes to the rest;
 * which ones follows from rendezvous hashing, as a hint only: whoever is not confirmed looks itself.
 */
import type * as task from '../kernel/task.js';
import * as relays from '../membership/relays.js';
import * as rendezvous from '../membership/rendezvous.js';
import type * as configurationMessages from '../messages/configuration.js';
import type * as membershipMessages from '../messages/membership.js';
import * as results from '../results/index.js';
import * as adoption from './adoption.js';
import * as confirmation from './confirmation.js';
import * as head from './head.js';
import type * as state from './state.js';

type State = state.State;
type Step = task.Step<State, state.Command>;

/** Peers that are asked at once for what this instance lacks. */
const ASKED_PEERS = 2;

export function decide(
  given: State,
  message: configurationMessages.ConfigurationMessage,
  now: task.Instant,
): Step {
  switch (message.type) {
    case 'task.start':
      return start(given);
    case 'platform.watch-updated': {
      const found = message.objects.find(({ key }) => key === head.HEAD_KEY);
      return found
        ? adoption.adoptHead(given, found.value, now)
        : confirmation.confirmNow(given, now);
    }
    case 'platform.answered':
      return adoption.onPlatformAnswer(given, message, now);
    case 'configuration.relayed':
      return adoption.adoptRelayedConfiguration(given, message.configuration, now);
    case 'configuration.changes-relayed':
      return adoption.adoptRelayedChanges(given, message.changes, now);
    case 'configuration.requested':
      return answerPeer(given, message);
    case 'configuration.peer-confirmed':
      return onPeerConfirmed(given, message, now);
    case 'configuration.peers-changed':
      return updateRelayRole(given, message.members);
    case 'configuration.tick':
      return onTick(given, now);
    case 'task.drain':
    case 'task.stop':
      return { state: given, commands: [] };
    default:
      return results.assertNever(message);
  }
}

function start(given: State): Step {
  return {
    state: given,
    commands: [
      { kind: 'watch' },
      { kind: 'publish-confirmation-status', confirmationStatus: given.confirmationStatus },
      { kind: 'schedule-tick' },
    ],
  };
}

/** Sends what the peer lacks: the changes if they reach back far enough, or else the whole. */
function answerPeer(
  given: State,
  { address, generation }: configurationMessages.ConfigurationRequested,
): Step {
  const { current } = given;
  if (!current || generation >= current.generation) return { state: given, commands: [] };
  const later = generation === 0 ? [] : adoption.changesSince(given, generation);
  const note: state.Command =
    later.length > 0
      ? { kind: 'send-changes', address, changes: later }
      : { kind: 'send-configuration', address, configuration: current };
  return { state: given, commands: [note] };
}

function onPeerConfirmed(
  given: State,
  { from, generation, ageMs }: configurationMessages.ConfigurationPeerConfirmed,
  now: task.Instant,
): Step {
  const own = adoption.currentGeneration(given);
  if (generation > own) {
    return { state: given, commands: [{ kind: 'request', to: [from], generation: own }] };
  }
  if (generation < own || ageMs === undefined) return { state: given, commands: [] };
  return confirmation.confirmAt(given, now.monotonicMs - ageMs, now);
}

function updateRelayRole(given: State, members: readonly membershipMessages.Member[]): Step {
  const near = relays.liveNames(members, given.ownDataCentre);
  const others = members.map(({ name }) => name);
  const chosen = relays.selectRelays(given.ownDataCentre, [...near, given.ownName]);
  const isRelay = chosen.includes(given.ownName);
  const next = { ...given, near, others, isRelay };
  if (isRelay === given.isRelay) return { state: next, commands: [] };
  return { state: next, commands: [{ kind: isRelay ? 'watch' : 'unwatch' }] };
}

function onTick(given: State, now: task.Instant): Step {
  const judged = confirmation.updateStatus(given, now);
  const looked = readIfNeeded(judged.state, now);
  return {
    state: looked.state,
    commands: [...judged.commands, ...looked.commands, { kind: 'schedule-tick' }],
  };
}

/** An instance that is not confirmed reads the platform itself, and asks peers at its start. */
function readIfNeeded(given: State, now: task.Instant): Step {
  const isNeeded = given.confirmationStatus === 'unconfirmed' || given.pendingHead !== undefined;
  if (!isNeeded || now.monotonicMs < given.nextReadAtMs) return { state: given, commands: [] };
  const reads = given.reads + 1;
  const next = {
    ...given,
    reads,
    nextReadAtMs: now.monotonicMs + confirmation.readDelayMs(given.ownName, reads),
  };
  const read: state.Command = given.pendingHead
    ? { kind: 'read', what: 'base', key: given.pendingHead.head.base.key }
    : { kind: 'read', what: 'head', key: head.HEAD_KEY };
  if (given.current) return { state: next, commands: [read] };
  const to = rendezvous.selectTop(`${given.ownName}/${reads}`, given.others, ASKED_PEERS);
  return {
    state: next,
    commands: [
      read,
      { kind: 'request', to, generation: 0 },
      { kind: 'request', to: 'seeds', generation: 0 },
    ],
  };
}
