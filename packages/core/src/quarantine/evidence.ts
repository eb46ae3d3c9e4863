/** Takes in suspects, successes and verdicts, of this instance and of others. */
import type * as task from '../kernel/task.js';
import * as clearing from './clearing.js';
import type * as command from './command.js';
import type * as ledgers from './ledger.js';
import * as names from './names.js';
import * as publishing from './publishing.js';
import * as storing from './storing.js';
import * as tally from './tally.js';
import type * as types from './types.js';
import * as verdicts from './verdicts.js';

/** Counts the suspects that are new here. */
export function addSuspects(
  ledger: ledgers.Ledger,
  suspects: readonly types.Suspect[],
  turn: storing.Turn,
  now: task.Instant,
): readonly command.Command[] {
  return suspects
    .filter((suspect) => publishing.addSuspect(ledger.news, suspect, now))
    .flatMap((suspect) =>
      suspect.parts.flatMap((part) => {
        const atMs = now.monotonicMs - suspect.ageMs;
        const counted = tally.count(ledger, suspect, part, atMs, now);
        return counted ? verdicts.judge(ledger, counted, turn, now) : [];
      }),
    );
}

/** A request of this instance got through with these parts. */
export function addSuccess(
  ledger: ledgers.Ledger,
  model: string,
  parts: readonly string[],
  now: task.Instant,
): readonly command.Command[] {
  const lifted = parts.flatMap((part) => {
    const wasCounted = clearing.clear(ledger, { model, part }, now);
    const commands = verdicts.lift(ledger, { model, part }, 'success', now);
    if (wasCounted || commands.length > 0) publishing.addCleared(ledger.news, { model, part }, now);
    return commands;
  });
  const narrowed = verdicts.withoutCleared(ledger, 'at-once', now);
  const cleared = lifted.flatMap((each) =>
    each.kind === 'record-verdict-lifted' ? [{ model: each.model, part: each.part }] : [],
  );
  if (cleared.length === 0) return narrowed;
  return [...lifted, ...narrowed, publishing.announce(ledger, { cleared })];
}

export function receive(
  ledger: ledgers.Ledger,
  update: types.Update,
  now: task.Instant,
): readonly command.Command[] {
  const lifted = update.cleared.flatMap((cleared) => receiveCleared(ledger, cleared, now));
  answerWithKnowledge(ledger, update, now);
  const adopted = update.verdicts.flatMap((verdict) => {
    const key = names.partKey(verdict.model, verdict.part);
    const isRefuted = storing.isLifted(verdict) || clearing.isCleared(ledger, key, now);
    if (isRefuted || !verdicts.mayAdoptFromPeer(ledger, key, now)) return [];
    return verdicts.adopt(ledger, verdict, 'later', now);
  });
  return [...lifted, ...adopted, ...addSuspects(ledger, update.suspects, 'later', now)];
}

function receiveCleared(
  ledger: ledgers.Ledger,
  cleared: types.PartOfModel,
  now: task.Instant,
): readonly command.Command[] {
  // What is known is not told again, or it would go round for ever.
  if (!clearing.isCleared(ledger, names.partKey(cleared.model, cleared.part), now)) {
    publishing.addCleared(ledger.news, cleared, now);
    clearing.clear(ledger, cleared, now);
  }
  const lifted = verdicts.lift(ledger, cleared, 'success elsewhere', now);
  return [...lifted, ...verdicts.withoutCleared(ledger, 'later', now)];
}

/** Peers that suspect a part of which this instance knows more are told with the next update. */
function answerWithKnowledge(
  ledger: ledgers.Ledger,
  { suspects, verdicts: condemned }: types.Update,
  now: task.Instant,
): void {
  const suspected = suspects.flatMap(({ model, parts }) => parts.map((part) => ({ model, part })));
  suspected.forEach(({ model, part }) =>
    publishing.renewVerdict(ledger, names.partKey(model, part), now),
  );
  [...suspected, ...condemned]
    .filter(({ model, part }) => clearing.isCleared(ledger, names.partKey(model, part), now))
    .forEach(({ model, part }) => publishing.addCleared(ledger.news, { model, part }, now));
}

/** Applies what the platform's store holds; objects that operators deleted lift their verdicts. */
export function readStore(
  ledger: ledgers.Ledger,
  stored: readonly types.StoredVerdict[],
  removed: readonly string[],
  isSnapshot: boolean,
  now: task.Instant,
): readonly command.Command[] {
  const present = new Set(stored.map(({ name }) => name));
  const absent = isSnapshot
    ? [...ledger.stored].flatMap(([name, { isShown }]) =>
        isShown && !present.has(name) ? [name] : [],
      )
    : removed;
  const deleted = absent.flatMap((name) => onDeleted(ledger, name, now));
  return [...deleted, ...stored.flatMap((each) => onStored(ledger, each, now))];
}

function onDeleted(
  ledger: ledgers.Ledger,
  name: string,
  now: task.Instant,
): readonly command.Command[] {
  const key = storing.keyOf(ledger, name) ?? '';
  ledger.stored.delete(name);
  const known = ledger.verdicts.get(key);
  return known ? verdicts.lift(ledger, known.verdict, 'removed from the store', now) : [];
}

function onStored(
  ledger: ledgers.Ledger,
  stored: types.StoredVerdict,
  now: task.Instant,
): readonly command.Command[] {
  const { verdict } = stored;
  const key = names.partKey(verdict.model, verdict.part);
  storing.onStored(ledger, stored);
  const known = ledger.verdicts.get(key)?.verdict;
  if (storing.isLifted(verdict)) {
    // The store's order decides, not the clocks of instances. A verdict that waits to be written is newer.
    const isCondemnedAgain = storing.isWriteDue(ledger, key);
    return known && !isCondemnedAgain
      ? verdicts.lift(ledger, verdict, 'success elsewhere', now)
      : [];
  }
  if (!clearing.isCleared(ledger, key, now)) return verdicts.adopt(ledger, verdict, 'shown', now);
  storing.plan(ledger, storing.lifted(verdict, now), 'later', now);
  return [];
}
