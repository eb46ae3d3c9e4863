/** What this instance tells others: news at once to all, and for some seconds to a few at a time. */
import type * as task from '../kernel/task.js';
import type * as command from './command.js';
import * as ledgers from './ledger.js';
import * as names from './names.js';
import type * as types from './types.js';

/** News are repeated for this long, which replaces lost updates. */
const NEWS_MS = 10_000;
/** Bounds of one update; the newest are sent. */
const MAX_SUSPECTS = 32;
const MAX_PARTS = 64;
const MAX_KNOWN = 512;

/** Returns whether the suspect is new here. */
export function addSuspect(news: ledgers.News, suspect: types.Suspect, now: task.Instant): boolean {
  const key = `${suspect.crash} ${suspect.requestId}`;
  if (news.suspects.has(key) || suspect.ageMs > NEWS_MS) return false;
  const atMs = now.monotonicMs - suspect.ageMs;
  ledgers.setBounded(news.suspects, key, { suspect, atMs }, MAX_KNOWN);
  return true;
}

export function addCleared(news: ledgers.News, part: types.PartOfModel, now: task.Instant): void {
  const key = names.partKey(part.model, part.part);
  if (news.cleared.has(key)) return;
  ledgers.setBounded(news.cleared, key, { part, atMs: now.monotonicMs }, MAX_KNOWN);
}

/** A verdict that a peer may not know is news again. */
export function renewVerdict(ledger: ledgers.Ledger, key: string, now: task.Instant): void {
  if (ledger.verdicts.has(key)) ledger.news.verdicts.set(key, now.monotonicMs);
}

/** Members that have just joined know no verdict that the store does not hold yet. */
export function renewVerdicts(ledger: ledgers.Ledger, now: task.Instant): void {
  [...ledger.verdicts.keys()].forEach((key) => renewVerdict(ledger, key, now));
}

/** Tells all members at once. */
export function announce(
  { instance }: ledgers.Ledger,
  given: Partial<types.Update>,
): command.Command {
  const update = { from: instance, suspects: [], cleared: [], verdicts: [], ...given };
  return { kind: 'send-quarantine-update', update, audience: 'all' };
}

/** The repetition of the news, if there are any. */
export function repeat(ledger: ledgers.Ledger, now: task.Instant): readonly command.Command[] {
  const { news, instance } = ledger;
  expire(news, now);
  const suspects = [...news.suspects.values()]
    .filter(({ suspect }) => isRepeated(ledger, suspect))
    .slice(-MAX_SUSPECTS)
    .map(({ suspect, atMs }) => ({ ...suspect, ageMs: now.monotonicMs - atMs }));
  const cleared = [...news.cleared.values()].slice(-MAX_PARTS).map(({ part }) => part);
  const verdicts = [...news.verdicts.keys()]
    .slice(-MAX_PARTS)
    .flatMap((key) => ledger.verdicts.get(key)?.verdict ?? []);
  if (suspects.length + cleared.length + verdicts.length === 0) return [];
  const update = { from: instance, suspects, cleared, verdicts };
  return [{ kind: 'send-quarantine-update', update, audience: 'some' }];
}

/** Most requests in flight at a crash never come again; what they ask for is told once until it does. */
function isRepeated({ tallies }: ledgers.Ledger, { model, parts }: types.Suspect): boolean {
  return parts.some((part) => {
    const crashes = tallies.get(names.partKey(model, part))?.crashes.length ?? 0;
    return !names.isOfRequest(part) || crashes > 1;
  });
}

function expire(news: ledgers.News, now: task.Instant): void {
  const oldestMs = now.monotonicMs - NEWS_MS;
  ledgers.deleteOlder(news.suspects, ({ atMs }) => atMs, oldestMs);
  ledgers.deleteOlder(news.cleared, ({ atMs }) => atMs, oldestMs);
  ledgers.deleteOlder(news.verdicts, (atMs) => atMs, oldestMs);
}
