/** Handles the platform's answers to the reads and writes of the cold-starts task. */
import type * as task from '../kernel/task.js';
import type * as messages from '../messages/index.js';
import * as results from '../results/index.js';
import * as lease from './lease.js';
import * as states from './state.js';

type State = states.State;
type Step = states.Step;

export function onAnswer(
  state: State,
  message: messages.PlatformAnswered,
  now: task.Instant,
): Step {
  const upstream = message.correlationId.slice(0, message.correlationId.lastIndexOf('#'));
  const entry = state.entries[upstream];
  if (entry?.lease.kind === 'asking' && entry.lease.ticket === message.correlationId) {
    return onRead(state, upstream, entry.lease.seen, message.answer, now);
  }
  if (entry?.lease.kind === 'writing' && entry.lease.ticket === message.correlationId) {
    return onWritten(state, upstream, entry.lease, message.answer, now);
  }
  return { state, commands: [] };
}

function onRead(
  state: State,
  upstream: string,
  before: lease.Observation | undefined,
  answer: messages.PlatformAnswer,
  now: task.Instant,
): Step {
  switch (answer.kind) {
    case 'object':
    case 'missing': {
      const found = answer.kind === 'object' ? answer.object : undefined;
      return onSeen(state, upstream, lease.observe(before, found, now), now);
    }
    case 'written':
    case 'conflict':
    case 'unavailable':
      return {
        state: states.withLease(state, upstream, { kind: 'idle', seen: before }),
        commands: [],
      };
    default:
      return results.assertNever(answer);
  }
}

/** Writes a wanted lease if no other instance can still hold it; else keeps the observation. */
function onSeen(state: State, upstream: string, seen: lease.Observation, now: task.Instant): Step {
  const isWanted = state.entries[upstream]?.wish.kind === 'wanted';
  if (!isWanted || !lease.isFree(seen, state.holder, now)) {
    return { state: states.withLease(state, upstream, { kind: 'idle', seen }), commands: [] };
  }
  const next = states.newWrite(state, seen.version, now.monotonicMs, now);
  return states.startWrite(state, upstream, next, { kind: 'none' }, now);
}

function onWritten(
  state: State,
  upstream: string,
  writing: Extract<lease.Lease, { kind: 'writing' }>,
  answer: messages.PlatformAnswer,
  now: task.Instant,
): Step {
  switch (answer.kind) {
    case 'written':
      return completeWrite(state, upstream, writing, answer.version);
    case 'conflict': {
      const { current } = answer;
      if (current?.writeId === writing.write.writeId) {
        return completeWrite(state, upstream, writing, current.version);
      }
      const seen = lease.observe(undefined, current, now);
      const idle = states.withLease(state, upstream, { kind: 'idle', seen });
      return {
        state: idle,
        commands: [{ kind: 'notify-routing', upstream, right: { kind: 'none' } }],
      };
    }
    case 'unavailable':
    case 'object':
    case 'missing':
      return { state, commands: [] };
    default:
      return results.assertNever(answer);
  }
}

function completeWrite(
  state: State,
  upstream: string,
  writing: Extract<lease.Lease, { kind: 'writing' }>,
  version: number,
): Step {
  const held = lease.completeWrite(writing.write, version);
  const right = lease.rightOf(held);
  const isGained = writing.right.kind === 'none' && right.kind === 'held';
  return {
    state: states.withLease(state, upstream, held),
    commands: [
      { kind: 'notify-routing', upstream, right },
      ...(isGained ? [{ kind: 'record-right-gained' as const, upstream }] : []),
    ],
  };
}
