/**
 * Adoption of configuration: an instance takes a generation higher than its own and nothing else,
 * from the platform or from a peer, so that a slow watch or a stale relay cannot revert it.
 */
import type * as task from '../kernel/task.js';
import type * as configurationMessages from '../messages/configuration.js';
import type * as peerMessages from '../messages/peers.js';
import type * as platformMessages from '../messages/platform.js';
import * as results from '../results/index.js';
import * as check from './check.js';
import type * as schema from './schema.js';

/** The object that holds the configuration in force. */
export const CONFIGURATION_KEY = 'configuration/current';

export type State = {
  current: schema.Configuration | undefined;
  /** When the platform or a peer last confirmed the current generation. */
  confirmedAtMs: number | undefined;
};

export type Command =
  | { kind: 'watch' }
  | { kind: 'publish'; configuration: schema.Configuration }
  | { kind: 'relay'; configuration: schema.Configuration }
  | { kind: 'note-adopted'; generation: number; source: Source }
  | { kind: 'note-refused'; failure: results.Failure };

export type Source = 'platform' | 'peer';

export const initial: State = { current: undefined, confirmedAtMs: undefined };

export function decide(
  state: State,
  message: configurationMessages.ConfigurationMessage,
  now: task.Instant,
): task.Step<State, Command> {
  switch (message.type) {
    case 'task.start':
      return { state, commands: [{ kind: 'watch' }] };
    case 'platform.changed':
      return adoptFromPlatform(state, message, now);
    case 'configuration.relayed':
      return adopt(state, message.configuration, 'peer', now);
    case 'task.leave':
    case 'task.stop':
    case 'platform.answered':
    case 'configuration.peers-changed':
      return { state, commands: [] };
    default:
      return results.never(message);
  }
}

function adoptFromPlatform(
  state: State,
  message: platformMessages.PlatformChanged,
  now: task.Instant,
): task.Step<State, Command> {
  const found = message.objects.find((object) => object.key === CONFIGURATION_KEY);
  if (found) return adopt(state, found.value, 'platform', now);
  return { state: { ...state, confirmedAtMs: now.monotonicMs }, commands: [] };
}

function adopt(
  state: State,
  found: unknown,
  source: Source,
  now: task.Instant,
): task.Step<State, Command> {
  const checked = check.check(found);
  if (checked.isErr()) {
    return { state, commands: [{ kind: 'note-refused', failure: checked.error }] };
  }
  const configuration = checked.value;
  const own = state.current?.generation ?? -1;
  if (configuration.generation < own) return { state, commands: [] };
  const confirmed = { ...state, confirmedAtMs: now.monotonicMs };
  if (configuration.generation === own) return { state: confirmed, commands: [] };
  return {
    state: { ...confirmed, current: configuration },
    commands: [
      { kind: 'publish', configuration },
      { kind: 'relay', configuration },
      { kind: 'note-adopted', generation: configuration.generation, source },
    ],
  };
}

/** What a peer is sent; the encoding is the peers plug-in's. */
export function relayNote(configuration: schema.Configuration): peerMessages.PeerNote {
  return { kind: 'configuration', configuration };
}
