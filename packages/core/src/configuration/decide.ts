/**
 * State transitions of the configuration task. An instance adopts only generations above its own,
 * from the platform or from a peer, so that a slow watch, a stale relay or a restart cannot revert
 * it. A few relays per data centre watch the platform and relay changes to the other instances.
 * Rendezvous hashing selects the relays as a hint only: an unconfirmed instance reads the platform
 * itself.
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

/** Number of peers that get a request for the configuration at the same time. */
const REQUESTED_PEERS = 2;

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
      return replyToPeer(given, message);
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

/**
 * Sends the changes that the peer lacks, or the whole configuration if not all of them are kept.
 */
function replyToPeer(
  given: State,
  { address, generation }: configurationMessages.ConfigurationRequested,
): Step {
  const { current } = given;
  if (!current || generation >= current.generation) return { state: given, commands: [] };
  const later = generation === 0 ? [] : adoption.changesSince(given, generation);
  const reply: state.Command =
    later.length > 0
      ? { kind: 'send-changes', address, changes: later }
      : { kind: 'send-configuration', address, configuration: current };
  return { state: given, commands: [reply] };
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
  const updated = confirmation.updateStatus(given, now);
  const polled = readIfNeeded(updated.state, now);
  return {
    state: polled.state,
    commands: [...updated.commands, ...polled.commands, { kind: 'schedule-tick' }],
  };
}

/**
 * Reads the platform if the configuration is unconfirmed or a head is pending. Without any
 * configuration, as after a start, also sends requests to peers and seeds.
 */
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
  const to = rendezvous.selectTop(`${given.ownName}/${reads}`, given.others, REQUESTED_PEERS);
  return {
    state: next,
    commands: [
      read,
      { kind: 'request', to, generation: 0 },
      { kind: 'request', to: 'seeds', generation: 0 },
    ],
  };
}
