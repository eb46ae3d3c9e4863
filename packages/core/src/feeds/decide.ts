/**
 * Decides which report streams are open: one to each source in the configuration. A stream that
 * ends is reopened after a delay; the stream of a source that is no longer configured is closed.
 */
import type * as task from '../kernel/task.js';
import * as results from '../results/index.js';

export type State = {
  /** HOST:PORT by source name. */
  addresses: Readonly<Record<string, string>>;
  isStopped: boolean;
};

export type Event =
  | { kind: 'sources'; addresses: Readonly<Record<string, string>> }
  | { kind: 'ended'; source: string; address: string }
  | { kind: 'retry'; source: string }
  | { kind: 'stop' };

export type Command =
  | { kind: 'open'; source: string; address: string }
  | { kind: 'close'; source: string }
  | { kind: 'silent'; source: string }
  | { kind: 'retry-later'; source: string };

type Step = task.Step<State, Command>;

/** Delay before a stream that ended is reopened. */
export const RETRY_MS = 500;

export const initial: State = { addresses: {}, isStopped: false };

export function decide(state: State, event: Event): Step {
  switch (event.kind) {
    case 'sources':
      return updateSources(state, event.addresses);
    case 'ended':
      return onEnded(state, event.source, event.address);
    case 'retry':
      return reopen(state, event.source);
    case 'stop':
      return stop(state);
    default:
      return results.assertNever(event);
  }
}

function updateSources(state: State, addresses: State['addresses']): Step {
  const removed = Object.keys(state.addresses).filter(
    (source) => addresses[source] !== state.addresses[source],
  );
  const added = Object.entries(addresses).filter(
    ([source, address]) => state.addresses[source] !== address,
  );
  return {
    state: { ...state, addresses },
    commands: [
      ...removed.map((source) => ({ kind: 'close' as const, source })),
      ...added.map(([source, address]) => ({ kind: 'open' as const, source, address })),
    ],
  };
}

function onEnded(state: State, source: string, address: string): Step {
  const isCurrent = state.addresses[source] === address;
  if (state.isStopped || !isCurrent) return { state, commands: [] };
  return {
    state,
    commands: [
      { kind: 'silent', source },
      { kind: 'retry-later', source },
    ],
  };
}

function reopen(state: State, source: string): Step {
  const address = state.addresses[source];
  if (state.isStopped || address === undefined) return { state, commands: [] };
  return { state, commands: [{ kind: 'open', source, address }] };
}

function stop(state: State): Step {
  const open = Object.keys(state.addresses);
  return {
    state: { addresses: {}, isStopped: true },
    commands: open.map((source) => ({ kind: 'close', source })),
  };
}
