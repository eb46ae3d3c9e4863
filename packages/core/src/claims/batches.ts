/**
 * The writes of pages, one at a time for each page. Operations gather while a write is under way
 * and between two writes, and go together into the next. The state is owned by the claims task and
 * updated in place.
 */
import type * as messages from '../messages/index.js';
import * as results from '../results/index.js';
import type * as peerMessages from './peer-messages.js';
import * as keys from './keys.js';
import * as pageStates from './page-state.js';
import * as page from './page.js';

/** Least time between the beginnings of two writes of one page. */
export const MIN_WRITE_INTERVAL_MS = 14;
/** The longest that an outcome waits for a write that it can ride along with. */
export const MAX_RECORD_DELAY_MS = 200;
/** Pages kept in memory without work. */
export const MAX_IDLE_PAGES = 128;
/** Full pages that a key may stand behind. */
const MAX_OVERFLOW_DEPTH = 32;

const NOTHING: pageStates.BatchResult = {
  commands: [],
  completions: [],
  isPlatformUnavailable: false,
};

export function enqueue(
  scope: pageStates.BatchContext,
  item: pageStates.PendingOperation,
): pageStates.BatchResult {
  const key = keys.overflowPageKey(item.place, item.overflowDepth);
  pageStates.touchPage(scope.batches, key).pending.push(item);
  return flushIfDue(scope, key);
}

/** Begins the next batch of a page if one is due, or asks to be called when it is. */
export function flushIfDue(scope: pageStates.BatchContext, key: string): pageStates.BatchResult {
  const { batches, now } = scope;
  const found = batches.pages.get(key);
  if (!found || found.batch || batches.isSuspended) return NOTHING;
  if (found.pending.length === 0) return forgetIdle(batches);
  const dueAtMs = dueAt(found);
  if (now.monotonicMs < dueAtMs) {
    const delayMs = Math.ceil(dueAtMs - now.monotonicMs);
    return {
      ...NOTHING,
      commands: [{ kind: 'schedule', timer: { kind: 'page', key }, delayMs }],
    };
  }
  return begin(scope, key, found);
}

function dueAt({ pending, lastWriteAtMs }: pageStates.PageState): number {
  const wishes = pending.map((item) =>
    isUrgent(item) ? item.arrivedAtMs : item.arrivedAtMs + MAX_RECORD_DELAY_MS,
  );
  return Math.max(lastWriteAtMs + MIN_WRITE_INTERVAL_MS, Math.min(...wishes));
}

/** Callers wait for claims and for the release of a key, but not for a recorded answer. */
function isUrgent({ operation }: pageStates.PendingOperation): boolean {
  return operation.kind === 'claim' || operation.outcome.kind === 'not-run';
}

function begin(
  scope: pageStates.BatchContext,
  key: string,
  found: pageStates.PageState,
): pageStates.BatchResult {
  const { batches, now } = scope;
  const batch: pageStates.Batch = {
    items: found.pending,
    writeId: `${batches.incarnation}-${batches.nextId}`,
    isReadFresh: false,
    failures: 0,
    applyResult: undefined,
  };
  Object.assign(batches, { nextId: batches.nextId + 1 });
  Object.assign(found, { pending: [], batch, lastWriteAtMs: now.monotonicMs });
  if (!found.isLoaded) return read(scope, key, found);
  return applyAndWrite(scope, key, found);
}

function read(
  { batches }: pageStates.BatchContext,
  key: string,
  found: pageStates.PageState,
): pageStates.BatchResult {
  const ticket = nextTicket(batches, key, found);
  return { ...NOTHING, commands: [{ kind: 'read', correlationId: ticket, key }] };
}

function nextTicket(batches: pageStates.Batches, key: string, found: pageStates.PageState): string {
  const ticket = `${key}#${batches.nextId}`;
  Object.assign(batches, { nextId: batches.nextId + 1 });
  Object.assign(found, { correlationId: ticket });
  return ticket;
}

function keyOfTicket(ticket: string): string {
  return ticket.slice(0, ticket.lastIndexOf('#'));
}

/** Applies the batch to the page as it is known, and writes the result if it differs. */
function applyAndWrite(
  scope: pageStates.BatchContext,
  key: string,
  found: pageStates.PageState,
): pageStates.BatchResult {
  const { batches, isStillNeeded, now } = scope;
  if (!found.batch) return NOTHING;
  const items = found.batch.items.filter(isStillNeeded);
  const operations = items.map(({ place, operation }) => ({ target: place, operation }));
  const terms = { wallMs: now.wallMs, retentionMs: batches.retentionMs };
  const tried = page.applyAll(found.value, operations, terms);
  Object.assign(found.batch, { items, applyResult: tried });
  if (!tried.isChanged && !items.some(({ isFence }) => isFence)) {
    const isCertain = found.batch.isReadFresh || tried.applied.every(isFinal);
    return isCertain ? finish(scope, key, found) : read(scope, key, found);
  }
  const { version: expectedVersion } = found;
  const { writeId } = found.batch;
  const ticket = nextTicket(batches, key, found);
  return {
    ...NOTHING,
    commands: [
      { kind: 'write', correlationId: ticket, key, expectedVersion, value: tried.page, writeId },
    ],
  };
}

/** An answer that was recorded stays; everything else may have changed since the page was read. */
function isFinal(applied: page.OperationResult): boolean {
  return applied.kind === 'found' && applied.outcome.kind === 'answered';
}

/** Takes the answer to the call under way for a page. */
export function onPlatformAnswer(
  scope: pageStates.BatchContext,
  ticket: string,
  answer: messages.PlatformAnswer,
): pageStates.BatchResult {
  const key = keyOfTicket(ticket);
  const found = scope.batches.pages.get(key);
  if (!found?.batch || found.correlationId !== ticket) return NOTHING;
  switch (answer.kind) {
    case 'written':
      Object.assign(found, { version: answer.version, value: found.batch.applyResult?.page });
      return finish(scope, key, found);
    case 'object':
      return adoptPage(scope, key, found, answer.object);
    case 'missing':
      return adoptPage(scope, key, found, undefined);
    case 'conflict':
      return adoptPage(scope, key, found, answer.current);
    case 'unavailable':
      return onUnavailable(scope, key, found);
      return NOTHING;
    default:
      return results.assertNever(answer);
  }
}

/**
 * Takes the object as it stands and tries again. Whether an earlier write in doubt took effect
 * shows in the page itself: an attempt that stands there is granted to its holder.
 */
function adoptPage(
  scope: pageStates.BatchContext,
  key: string,
  found: pageStates.PageState,
  object: messages.StoredObject | undefined,
): pageStates.BatchResult {
  const parsed = object ? page.parsePage(object.value) : undefined;
  if (parsed?.isErr()) return refuse(scope, key, found);
  const value = parsed?.isOk() ? parsed.value : page.emptyPage();
  Object.assign(found, { version: object?.version ?? 0, value, isLoaded: true });
  if (found.batch) Object.assign(found.batch, { isReadFresh: true, failures: 0 });
  return applyAndWrite(scope, key, found);
}

/** Reads again: only the object itself tells whether the write took effect. */
function onUnavailable(
  scope: pageStates.BatchContext,
  key: string,
  found: pageStates.PageState,
): pageStates.BatchResult {
  Object.assign(found, { isLoaded: false });
  if (!found.batch) return NOTHING;
  Object.assign(found.batch, { failures: found.batch.failures + 1 });
  if (found.batch.failures > 1) return { ...NOTHING, isPlatformUnavailable: true };
  return read(scope, key, found);
}

function finish(
  scope: pageStates.BatchContext,
  key: string,
  found: pageStates.PageState,
): pageStates.BatchResult {
  const { items, applyResult } = found.batch ?? { items: [], applyResult: undefined };
  Object.assign(found, { batch: undefined });
  const all = items.map<pageStates.Completion>((item, at) => ({
    item,
    result: applyResult?.applied[at] ?? { kind: 'overtaken' },
  }));
  const descending = all.filter(({ item, result }) => isDescent(item, result));
  const descents = descending.map(({ item }) =>
    enqueue(scope, { ...item, overflowDepth: item.overflowDepth + 1 }),
  );
  const next = flushIfDue(scope, key);
  const done = all.filter((each) => !descending.includes(each));
  return [...descents, next].reduce<pageStates.BatchResult>(join, {
    ...NOTHING,
    completions: done,
  });
}

function isDescent(
  { overflowDepth }: pageStates.PendingOperation,
  result: peerMessages.Result,
): boolean {
  return result.kind === 'descend' && overflowDepth < MAX_OVERFLOW_DEPTH;
}

function join(one: pageStates.BatchResult, other: pageStates.BatchResult): pageStates.BatchResult {
  return {
    commands: [...one.commands, ...other.commands],
    completions: [...one.completions, ...other.completions],
    isPlatformUnavailable: one.isPlatformUnavailable || other.isPlatformUnavailable,
  };
}

/** A page that cannot be decoded takes nothing. */
function refuse(
  scope: pageStates.BatchContext,
  key: string,
  found: pageStates.PageState,
): pageStates.BatchResult {
  if (found.batch) Object.assign(found.batch, { applyResult: undefined });
  Object.assign(found, { isLoaded: false });
  return finish(scope, key, found);
}

/**
 * Stops all writes until `resume`, and gives peers' waiting operations back to them. Those of a
 * batch under way stay with it, since its write may yet be answered.
 */
export function suspend(batches: pageStates.Batches): readonly pageStates.Completion[] {
  Object.assign(batches, { isSuspended: true });
  const isOwn = ({ requester }: pageStates.PendingOperation) => requester.kind === 'own';
  return [...batches.pages.values()].flatMap((found) => {
    const givenBack = found.pending.filter((item) => !isOwn(item));
    Object.assign(found, { pending: found.pending.filter(isOwn) });
    return givenBack.map<pageStates.Completion>((item) => ({
      item,
      result: { kind: 'unavailable' },
    }));
  });
}

/** Goes on after a suspension: reads the pages with a batch under way, and begins the others. */
export function resume(scope: pageStates.BatchContext): pageStates.BatchResult {
  const { batches } = scope;
  Object.assign(batches, { isSuspended: false });
  return [...batches.pages]
    .map(([key, found]) => (found.batch ? read(scope, key, found) : flushIfDue(scope, key)))
    .reduce(join, NOTHING);
}

/** Drops the pages that were used least lately and have no work. */
function forgetIdle({ pages }: pageStates.Batches): pageStates.BatchResult {
  if (pages.size <= MAX_IDLE_PAGES) return NOTHING;
  const idle = [...pages].filter(([, { pending, batch }]) => !batch && pending.length === 0);
  idle.slice(0, Math.max(0, idle.length - MAX_IDLE_PAGES)).forEach(([key]) => pages.delete(key));
  return NOTHING;
}
