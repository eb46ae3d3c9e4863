/**
 * Decides which leases on cold upstreams (just started, not yet warmed up) this instance acquires.
 * A lease gives one instance the right to send to one cold upstream until `untilMs`; instances try
 * to acquire it in turn, by rank. It is renewed while the upstream is cold and then left to expire.
 */
import type * as schema from '../configuration/schema.js';
import type * as task from '../kernel/task.js';
import type * as messages from '../messages/index.js';
import * as results from '../results/index.js';
import * as answers from './answers.js';
import * as lease from './lease.js';
import * as states from './state.js';
import * as attemptOrder from './attempt-order.js';

type State = states.State;
type Step = states.Step;

export function decide(state: State, message: messages.ColdStartsMessage, now: task.Instant): Step {
  switch (message.type) {
    case 'task.start':
      return { state, commands: [{ kind: 'schedule-tick' }] };
    case 'configuration.adopted':
      return { state: onConfiguration(state, message.configuration), commands: [] };
    case 'membership.changed':
      return { state: { ...state, members: message.members }, commands: [] };
    case 'cold-starts.set-cold-upstreams':
      return onColdUpstreams(state, message.upstreams, now);
    case 'cold-starts.tick':
      return tick(state, now);
    case 'platform.answered':
      return answers.onAnswer(state, message, now);
    case 'task.drain':
      return onColdUpstreams({ ...state, isLeaving: true }, [], now);
    case 'task.stop':
      return { state, commands: [] };
    default:
      return results.assertNever(message);
  }
}

function onConfiguration(state: State, configuration: schema.Configuration): State {
  const pairs = configuration.upstreams.map(({ name, dataCentre }) => [name, dataCentre] as const);
  return { ...state, dataCentres: Object.fromEntries(pairs) };
}

function onColdUpstreams(state: State, upstreams: readonly string[], now: task.Instant): Step {
  const wanted = new Set(state.isLeaving ? [] : upstreams);
  const names = new Set([...Object.keys(state.entries), ...wanted]);
  const entries = Object.fromEntries(
    [...names].map(
      (name) => [name, updateDemand(state.entries[name], wanted.has(name), now)] as const,
    ),
  );
  return advanceAll({ ...state, entries }, now);
}

function updateDemand(
  before: states.Entry | undefined,
  isWanted: boolean,
  now: task.Instant,
): states.Entry {
  const entry = before ?? { wish: { kind: 'unwanted' }, lease: { kind: 'idle', seen: undefined } };
  if (!isWanted) return { ...entry, wish: { kind: 'unwanted' } };
  if (entry.wish.kind === 'wanted') return entry;
  return { ...entry, wish: { kind: 'wanted', sinceMs: now.monotonicMs } };
}

function tick(state: State, now: task.Instant): Step {
  const step = advanceAll(state, now);
  return { state: step.state, commands: [...step.commands, { kind: 'schedule-tick' }] };
}

function advanceAll(state: State, now: task.Instant): Step {
  return Object.keys(state.entries).reduce<Step>(
    (step, upstream) => {
      const next = advance(step.state, upstream, now);
      return { state: next.state, commands: [...step.commands, ...next.commands] };
    },
    { state, commands: [] },
  );
}

/** Returns the next state and the commands that are due for one upstream. */
function advance(state: State, upstream: string, now: task.Instant): Step {
  const entry = state.entries[upstream];
  if (!entry) return { state, commands: [] };
  switch (entry.lease.kind) {
    case 'idle':
      return advanceIdle(state, upstream, entry.wish, entry.lease.seen, now);
    case 'asking':
      if (now.monotonicMs - entry.lease.sentAtMs < lease.ANSWER_TIMEOUT_MS) {
        return { state, commands: [] };
      }
      return states.startRead(state, upstream, entry.lease.seen, now);
    case 'writing':
      if (now.monotonicMs - entry.lease.triedAtMs < lease.ANSWER_TIMEOUT_MS) {
        return { state, commands: [] };
      }
      return states.startWrite(state, upstream, entry.lease.write, entry.lease.right, now);
    case 'held':
      return advanceHeld(state, upstream, entry.wish, entry.lease, now);
    default:
      return results.assertNever(entry.lease);
  }
}

function advanceIdle(
  state: State,
  upstream: string,
  demand: states.Demand,
  seen: lease.Observation | undefined,
  now: task.Instant,
): Step {
  switch (demand.kind) {
    case 'unwanted':
      return { state: states.forget(state, upstream), commands: [] };
    case 'wanted': {
      const all = attemptOrder.listPossiblyAlive(state.ownInstance, state.members);
      const rank = attemptOrder.rank(
        state.ownInstance,
        all,
        upstream,
        state.dataCentres[upstream] ?? '',
      );
      const isOwnTurn = now.monotonicMs - demand.sinceMs >= attemptOrder.waitMs(rank);
      const isHeldByOther = seen && !lease.isFree(seen, state.holder, now);
      if (!isOwnTurn || isHeldByOther) return { state, commands: [] };
      return states.startRead(state, upstream, seen, now);
    }
    default:
      return results.assertNever(demand);
  }
}

/**
 * Renews while the upstream is cold. Otherwise lets the lease expire instead of releasing it, since
 * requests that were sent under it may still be in flight.
 */
function advanceHeld(
  state: State,
  upstream: string,
  demand: states.Demand,
  held: Extract<lease.Lease, { kind: 'held' }>,
  now: task.Instant,
): Step {
  const { version, right } = held;
  const leftMs = right.untilMs - now.monotonicMs;
  switch (demand.kind) {
    case 'unwanted':
      return { state: leftMs <= 0 ? states.forget(state, upstream) : state, commands: [] };
    case 'wanted':
      if (leftMs >= lease.RENEW_BEFORE_MS) return { state, commands: [] };
      return states.startWrite(
        state,
        upstream,
        states.newWrite(state, version, right.sinceMs, now),
        right,
        now,
      );
    default:
      return results.assertNever(demand);
  }
}
