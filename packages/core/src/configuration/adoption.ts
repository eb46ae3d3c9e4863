/** Adopts a higher generation from the head, from its base, or from data that a peer sent. */
import type * as neverthrow from 'neverthrow';
import * as zod from 'zod';

import type * as task from '../kernel/task.js';
import type * as platformMessages from '../messages/platform.js';
import * as results from '../results/index.js';
import * as changes from './changes.js';
import * as validation from './validation.js';
import * as confirmation from './confirmation.js';
import * as head from './head.js';
import type * as schema from './schema.js';
import type * as state from './state.js';

type State = state.State;
type Step = task.Step<State, state.Command>;

/** Correlation ids of the two reads. */
export const TICKETS = { head: 'configuration-head', base: 'configuration-base' } as const;

const changesSchema = zod.array(changes.changeSchema);

export function currentGeneration({ current }: State): number {
  return current?.generation ?? 0;
}

/** The changes after a generation up to the current one; empty if some of them are not kept. */
export function changesSince(given: State, generation: number): readonly changes.Change[] {
  const later = changes.changesAfter(given.recentChanges, generation) ?? [];
  return later.length === currentGeneration(given) - generation ? later : [];
}

/** Handles the head, from a watch or a read. */
export function adoptHead(given: State, found: unknown, now: task.Instant): Step {
  const checked = head.headSchema.safeParse(found);
  if (!checked.success) return refuse(given, `${head.HEAD_KEY}: ${checked.error.message}`);
  const newHead = checked.data;
  const own = currentGeneration(given);
  if (newHead.generation < own) return { state: given, commands: [] };
  if (newHead.generation === own) return confirmation.confirmNow(given, now);
  const later = changes.changesAfter(newHead.changes, own);
  const coversGap = given.current && later?.length === newHead.generation - own;
  if (given.current && later && coversGap) {
    return adoptIfNewer(given, changes.applyChanges(given.current, later), later, 'platform', now);
  }
  const pendingHead = { head: newHead, seenAtMs: now.monotonicMs };
  return {
    state: {
      ...given,
      pendingHead,
      nextReadAtMs: now.monotonicMs + confirmation.TICK_MS * 4,
    },
    commands: [{ kind: 'read', what: 'base', key: newHead.base.key }],
  };
}

/** Handles the platform's response to a read of the head or of a base. */
export function onPlatformAnswer(
  given: State,
  { correlationId, answer }: platformMessages.PlatformAnswered,
  now: task.Instant,
): Step {
  if (answer.kind !== 'object') return { state: given, commands: [] };
  if (correlationId === TICKETS.head) return adoptHead(given, answer.object.value, now);
  return adoptBase(given, answer.object, now);
}

function adoptBase(given: State, object: platformMessages.StoredObject, now: task.Instant): Step {
  const { pendingHead } = given;
  if (pendingHead?.head.base.key !== object.key) return { state: given, commands: [] };
  const settledState = { ...given, pendingHead: undefined };
  const checked = head.baseSchema.safeParse(object.value);
  if (!checked.success) return refuse(settledState, `${object.key}: ${checked.error.message}`);
  const { configuration } = checked.data;
  const later = changes.changesAfter(pendingHead.head.changes, configuration.generation) ?? [];
  const applied = changes.applyChanges(configuration, later);
  return adoptIfNewer(settledState, applied, pendingHead.head.changes, 'platform', now);
}

/**
 * Adopts changes that a peer sent. Ignores them if they leave a gap; the missing ones are requested
 * at the next heartbeat of the peer.
 */
export function adoptRelayedChanges(given: State, found: unknown, now: task.Instant): Step {
  const checked = changesSchema.safeParse(found);
  if (!checked.success) return refuse(given, `changes of a peer: ${checked.error.message}`);
  const later = changes.changesAfter(checked.data, currentGeneration(given));
  if (!given.current || !later || later.length === 0) return { state: given, commands: [] };
  return adoptIfNewer(given, changes.applyChanges(given.current, later), later, 'peer', now);
}

/** Adopts a whole configuration that a peer sent. */
export function adoptRelayedConfiguration(given: State, found: unknown, now: task.Instant): Step {
  return adoptIfNewer(given, validation.validate(found), [], 'peer', now);
}

/**
 * Adopts a generation above the current one, publishes it to other tasks, and relays its changes.
 */
function adoptIfNewer(
  given: State,
  found: neverthrow.Result<schema.Configuration, results.Failure>,
  knownChanges: readonly changes.Change[],
  source: state.Source,
  now: task.Instant,
): Step {
  if (found.isErr()) return refuse(given, found.error.detail);
  const configuration = found.value;
  const own = currentGeneration(given);
  if (given.current && configuration.generation <= own) return { state: given, commands: [] };
  const { generation } = configuration;
  const recent = mergeRecent(given.recentChanges, knownChanges, generation);
  const isHeadReached = (given.pendingHead?.head.generation ?? 0) <= generation;
  const adopted: State = {
    ...given,
    current: configuration,
    recentChanges: recent,
    pendingHead: isHeadReached ? undefined : given.pendingHead,
  };
  const relayed = changesSince(adopted, own);
  const confirmed =
    source === 'platform' ? confirmation.confirmNow(adopted, now) : unconfirmed(adopted);
  return {
    state: confirmed.state,
    commands: [
      { kind: 'publish', configuration },
      ...relay(adopted, relayed),
      { kind: 'record-adopted', generation, source },
      ...confirmed.commands,
    ],
  };
}

/** A configuration from a peer takes effect at once, but stays unconfirmed until a confirmation. */
function unconfirmed(given: State): Step {
  const { confirmedAtMs } = given;
  const generation = currentGeneration(given);
  return { state: given, commands: [{ kind: 'report', generation, confirmedAtMs }] };
}

function relay(given: State, relayed: readonly changes.Change[]): readonly state.Command[] {
  if (!given.isRelay || given.near.length === 0 || relayed.length === 0) return [];
  return [{ kind: 'relay-changes', to: given.near, changes: relayed }];
}

function mergeRecent(
  before: readonly changes.Change[],
  added: readonly changes.Change[],
  upTo: number,
): readonly changes.Change[] {
  const all = new Map([...before, ...added].map((each) => [each.generation, each]));
  return [...all.values()]
    .filter(({ generation }) => generation <= upTo)
    .sort((a, b) => a.generation - b.generation)
    .slice(-head.MAX_HEAD_CHANGES);
}

function refuse(given: State, detail: string): Step {
  const failure = results.failure('invalidInput', detail);
  return { state: given, commands: [{ kind: 'record-refused', failure }] };
}
