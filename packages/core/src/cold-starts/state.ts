/** State and commands of the cold-starts task, and steps that several of its decisions share. */
import type * as task from '../kernel/task.js';
import type * as messages from '../messages/index.js';
import type * as lease from './lease.js';
import type * as attemptOrder from './attempt-order.js';

/** A cold upstream, or one whose lease has not expired yet. */
export type Entry = { wish: Demand; lease: lease.Lease };
export type Demand = { kind: 'wanted'; sinceMs: number } | { kind: 'unwanted' };

export type State = {
  ownInstance: attemptOrder.Instance;
  /** New at each start: a restarted instance is a different holder. */
  holder: string;
  dataCentres: Readonly<Record<string, string>>;
  members: readonly messages.Member[];
  entries: Readonly<Record<string, Entry>>;
  isLeaving: boolean;
  nextCorrelationId: number;
};

export type Command =
  | { kind: 'read'; ticket: string; key: string }
  | {
      kind: 'write';
      ticket: string;
      key: string;
      expectedVersion: number;
      value: lease.StoredLease;
      writeId: string;
    }
  | { kind: 'notify-routing'; upstream: string; right: messages.ColdStartRight }
  | { kind: 'record-right-gained'; upstream: string }
  | { kind: 'schedule-tick' };

export type Step = task.Step<State, Command>;

/** Interval at which leases are checked and renewed. */
export const TICK_MS = 500;
export const KEY_PREFIX = 'cold-starts/';

export function initial(own: attemptOrder.Instance, incarnation: string): State {
  return {
    ownInstance: own,
    holder: incarnation,
    dataCentres: {},
    members: [],
    entries: {},
    isLeaving: false,
    nextCorrelationId: 1,
  };
}

export function newWrite(
  state: State,
  expectedVersion: number,
  sinceMs: number,
  now: task.Instant,
): lease.PendingWrite {
  return {
    writeId: `${state.holder}-${state.nextCorrelationId}`,
    expectedVersion,
    value: { holder: state.holder },
    sentAtMs: now.monotonicMs,
    sinceMs,
  };
}

export function startRead(
  state: State,
  upstream: string,
  seen: lease.Observation | undefined,
  now: task.Instant,
): Step {
  const { ticket, state: nextState } = nextTicket(state, upstream);
  const asking: lease.Lease = { kind: 'asking', seen, ticket, sentAtMs: now.monotonicMs };
  return {
    state: withLease(nextState, upstream, asking),
    commands: [{ kind: 'read', ticket, key: `${KEY_PREFIX}${upstream}` }],
  };
}

/** Sends a conditional update, or retries the same one. */
export function startWrite(
  state: State,
  upstream: string,
  write: lease.PendingWrite,
  right: messages.ColdStartRight,
  now: task.Instant,
): Step {
  const { ticket, state: nextState } = nextTicket(state, upstream);
  const { expectedVersion, value, writeId } = write;
  const triedAtMs = now.monotonicMs;
  const writing: lease.Lease = { kind: 'writing', write, ticket, triedAtMs, right };
  const key = `${KEY_PREFIX}${upstream}`;
  return {
    state: withLease(nextState, upstream, writing),
    commands: [{ kind: 'write', ticket, key, expectedVersion, value, writeId }],
  };
}

function nextTicket(state: State, upstream: string): { ticket: string; state: State } {
  const ticket = `${upstream}#${state.nextCorrelationId}`;
  return { ticket, state: { ...state, nextCorrelationId: state.nextCorrelationId + 1 } };
}

export function withLease(state: State, upstream: string, next: lease.Lease): State {
  const entry = state.entries[upstream];
  if (!entry) return state;
  return { ...state, entries: { ...state.entries, [upstream]: { ...entry, lease: next } } };
}

export function forget(state: State, upstream: string): State {
  const { [upstream]: forgotten, ...entries } = state.entries;
  void forgotten;
  return { ...state, entries };
}
