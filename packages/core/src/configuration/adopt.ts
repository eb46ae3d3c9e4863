/** How a higher generation is adopted: from the head, from its base, or from what a peer sent. */
import type * as neverthrow from 'neverthrow';
import * as zod from 'zod';

import type * as task from '../kernel/task.js';
import type * as platformMessages from '../messages/platform.js';
import * as results from '../results/index.js';
import * as changes from './changes.js';
import * as check from './check.js';
import * as confidence from './confidence.js';
import * as head from './head.js';
import type * as schema from './schema.js';
import type * as state from './state.js';

type State = state.State;
type Step = task.Step<State, state.Command>;

/** Tickets of the two reads. */
export const TICKETS = { head: 'configuration-head', base: 'configuration-base' } as const;

const changesSchema = zod.array(changes.changeSchema);

export function ownGeneration({ current }: State): number {
  return current?.generation ?? 0;
}

/** The changes behind a generation up to the current one; none if they do not reach back. */
export function knownChanges(given: State, generation: number): readonly changes.Change[] {
  const later = changes.following(given.recent, generation) ?? [];
  return later.length === ownGeneration(given) - generation ? later : [];
}

/** Takes in the head, from a watch or a read. */
export function fromHead(given: State, found: unknown, now: task.Instant): Step {
  const checked = head.headSchema.safeParse(found);
  if (!checked.success) return refuse(given, `${head.HEAD_KEY}: ${checked.error.message}`);
  const seen = checked.data;
  const own = ownGeneration(given);
  if (seen.generation < own) return { state: given, commands: [] };
  if (seen.generation === own) return confidence.confirm(given, now);
  const later = changes.following(seen.changes, own);
  const isBridged = given.current && later?.length === seen.generation - own;
  if (given.current && later && isBridged) {
    return take(given, changes.applyAll(given.current, later), later, 'platform', now);
  }
  const awaited = { head: seen, seenAtMs: now.monotonicMs };
  return {
    state: { ...given, awaited, nextReadAtMs: now.monotonicMs + confidence.TICK_MS * 4 },
    commands: [{ kind: 'read', what: 'base', key: seen.base.key }],
  };
}

/** Takes in the platform's answer to a read of the head or of a base. */
export function fromAnswer(
  given: State,
  { correlationId, answer }: platformMessages.PlatformAnswered,
  now: task.Instant,
): Step {
  if (answer.kind !== 'object') return { state: given, commands: [] };
  if (correlationId === TICKETS.head) return fromHead(given, answer.object.value, now);
  return fromBase(given, answer.object, now);
}

function fromBase(given: State, object: platformMessages.StoredObject, now: task.Instant): Step {
  const { awaited } = given;
  if (awaited?.head.base.key !== object.key) return { state: given, commands: [] };
  const settled = { ...given, awaited: undefined };
  const checked = head.baseSchema.safeParse(object.value);
  if (!checked.success) return refuse(settled, `${object.key}: ${checked.error.message}`);
  const { configuration } = checked.data;
  const later = changes.following(awaited.head.changes, configuration.generation) ?? [];
  const applied = changes.applyAll(configuration, later);
  return take(settled, applied, awaited.head.changes, 'platform', now);
}

/** Takes in changes that a peer sent; those that leave a gap are asked for by its next heartbeat. */
export function relayedChanges(given: State, found: unknown, now: task.Instant): Step {
  const checked = changesSchema.safeParse(found);
  if (!checked.success) return refuse(given, `changes of a peer: ${checked.error.message}`);
  const later = changes.following(checked.data, ownGeneration(given));
  if (!given.current || !later || later.length === 0) return { state: given, commands: [] };
  return take(given, changes.applyAll(given.current, later), later, 'peer', now);
}

/** Takes in a whole configuration that a peer sent. */
export function whole(given: State, found: unknown, now: task.Instant): Step {
  return take(given, check.check(found), [], 'peer', now);
}

/** Adopts what is higher than the own generation, tells the other tasks, and relays the changes. */
function take(
  given: State,
  found: neverthrow.Result<schema.Configuration, results.Failure>,
  known: readonly changes.Change[],
  source: state.Source,
  now: task.Instant,
): Step {
  if (found.isErr()) return refuse(given, found.error.detail);
  const configuration = found.value;
  const own = ownGeneration(given);
  if (given.current && configuration.generation <= own) return { state: given, commands: [] };
  const { generation } = configuration;
  const recent = mergeRecent(given.recent, known, generation);
  const isHeadReached = (given.awaited?.head.generation ?? 0) <= generation;
  const adopted: State = {
    ...given,
    current: configuration,
    recent,
    awaited: isHeadReached ? undefined : given.awaited,
  };
  const relayed = knownChanges(adopted, own);
  const confirmed = source === 'platform' ? confidence.confirm(adopted, now) : unconfirmed(adopted);
  return {
    state: confirmed.state,
    commands: [
      { kind: 'publish', configuration },
      ...relay(adopted, relayed),
      { kind: 'note-adopted', generation, source },
      ...confirmed.commands,
    ],
  };
}

/** What a peer sent is in force, but only a confirmation makes it confirmed. */
function unconfirmed(given: State): Step {
  const { confirmedAtMs } = given;
  const generation = ownGeneration(given);
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
  return { state: given, commands: [{ kind: 'note-refused', failure }] };
}
