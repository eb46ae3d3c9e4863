/**
 * Writes pages, with at most one write in flight per page. Operations that arrive during a write or
 * between two writes are batched into the next one. The state is owned by the claims task and
 * updated in place.
 */
import type * as messages from '../messages/index.js';
import * as results from '../results/index.js';
import type * as peerMessages from './peer-messages.js';
import * as keys from './keys.js';
import * as pageStates from './page-state.js';
import * as page from './page.js';

/** Minimum time between the starts of two writes of one page. */
export const MIN_WRITE_INTERVAL_MS = 14;
/** Longest time that an outcome waits to be batched with other operations. */
export const MAX_RECORD_DELAY_MS = 200;
/** Maximum number of idle pages kept in memory. */
export const MAX_IDLE_PAGES = 128;
/** Maximum number of full pages before the page that holds a key. */
const MAX_OVERFLOW_DEPTH = 32;

const EMPTY_RESULT: pageStates.BatchResult = {
  commands: [],
  completions: [],
  isPlatformUnavailable: false,
};

export function enqueue(
  context: pageStates.BatchContext,
  item: pageStates.PendingOperation,
): pageStates.BatchResult {
  const key = keys.overflowPageKey(item.place, item.overflowDepth);
  pageStates.touchPage(context.batches, key).pending.push(item);
  return flushIfDue(context, key);
}

/** Starts the next batch of a page if one is due, or schedules a timer for when it is. */
export function flushIfDue(context: pageStates.BatchContext, key: string): pageStates.BatchResult {
  const { batches, now } = context;
  const found = batches.pages.get(key);
  if (!found || found.batch || batches.isSuspended) return EMPTY_RESULT;
  if (found.pending.length === 0) return evictIdle(batches);
  const dueAtMs = dueAt(found);
  if (now.monotonicMs < dueAtMs) {
    const delayMs = Math.ceil(dueAtMs - now.monotonicMs);
    return {
      ...EMPTY_RESULT,
      commands: [{ kind: 'schedule', timer: { kind: 'page', key }, delayMs }],
    };
  }
  return startBatch(context, key, found);
}

function dueAt({ pending, lastWriteAtMs }: pageStates.PageState): number {
  const dueTimes = pending.map((item) =>
    isUrgent(item) ? item.arrivedAtMs : item.arrivedAtMs + MAX_RECORD_DELAY_MS,
  );
  return Math.max(lastWriteAtMs + MIN_WRITE_INTERVAL_MS, Math.min(...dueTimes));
}

/** Callers wait for claims and for the release of a key, but not for the record of an answer. */
function isUrgent({ operation }: pageStates.PendingOperation): boolean {
  return operation.kind === 'claim' || operation.outcome.kind === 'not-run';
}

function startBatch(
  context: pageStates.BatchContext,
  key: string,
  found: pageStates.PageState,
): pageStates.BatchResult {
  const { batches, now } = context;
  const batch: pageStates.Batch = {
    items: found.pending,
    writeId: `${batches.incarnation}-${batches.nextId}`,
    isReadFresh: false,
    failures: 0,
    applyResult: undefined,
  };
  Object.assign(batches, { nextId: batches.nextId + 1 });
  Object.assign(found, { pending: [], batch, lastWriteAtMs: now.monotonicMs });
  if (!found.isLoaded) return read(context, key, found);
  return applyAndWrite(context, key, found);
}

function read(
  { batches }: pageStates.BatchContext,
  key: string,
  found: pageStates.PageState,
): pageStates.BatchResult {
  const correlationId = nextCorrelationId(batches, key, found);
  return { ...EMPTY_RESULT, commands: [{ kind: 'read', correlationId, key }] };
}

function nextCorrelationId(
  batches: pageStates.Batches,
  key: string,
  found: pageStates.PageState,
): string {
  const correlationId = `${key}#${batches.nextId}`;
  Object.assign(batches, { nextId: batches.nextId + 1 });
  Object.assign(found, { correlationId });
  return correlationId;
}

function pageKeyOf(correlationId: string): string {
  return correlationId.slice(0, correlationId.lastIndexOf('#'));
}

/**
 * Applies the batch to the cached page, and writes the result if it differs or a fence is needed.
 */
function applyAndWrite(
  context: pageStates.BatchContext,
  key: string,
  found: pageStates.PageState,
): pageStates.BatchResult {
  const { batches, isStillNeeded, now } = context;
  if (!found.batch) return EMPTY_RESULT;
  const items = found.batch.items.filter(isStillNeeded);
  const operations = items.map(({ place, operation }) => ({ target: place, operation }));
  const retention = { wallMs: now.wallMs, retentionMs: batches.retentionMs };
  const applyResult = page.applyAll(found.value, operations, retention);
  Object.assign(found.batch, { items, applyResult });
  if (!applyResult.isChanged && !items.some(({ isFence }) => isFence)) {
    const isConclusive = found.batch.isReadFresh || applyResult.applied.every(isFinal);
    return isConclusive ? finish(context, key, found) : read(context, key, found);
  }
  const { version: expectedVersion } = found;
  const { writeId } = found.batch;
  const correlationId = nextCorrelationId(batches, key, found);
  return {
    ...EMPTY_RESULT,
    commands: [
      { kind: 'write', correlationId, key, expectedVersion, value: applyResult.page, writeId },
    ],
  };
}

/** A recorded answer is final; everything else may have changed since the page was read. */
function isFinal(applied: page.OperationResult): boolean {
  return applied.kind === 'found' && applied.outcome.kind === 'answered';
}

/** Handles the response to the call in flight for a page. Ignores responses to earlier calls. */
export function onPlatformAnswer(
  context: pageStates.BatchContext,
  correlationId: string,
  answer: messages.PlatformAnswer,
): pageStates.BatchResult {
  const key = pageKeyOf(correlationId);
  const found = context.batches.pages.get(key);
  if (!found?.batch || found.correlationId !== correlationId) return EMPTY_RESULT;
  switch (answer.kind) {
    case 'written':
      Object.assign(found, { version: answer.version, value: found.batch.applyResult?.page });
      return finish(context, key, found);
    case 'object':
      return adoptPage(context, key, found, answer.object);
    case 'missing':
      return adoptPage(context, key, found, undefined);
    case 'conflict':
      return adoptPage(context, key, found, answer.current);
    case 'unavailable':
      return onUnavailable(context, key, found);
      return EMPTY_RESULT;
    default:
      return results.assertNever(answer);
  }
}

/**
 * Caches the object as read and applies the batch again. The page itself shows whether an earlier
 * write with an unknown result took effect: an attempt that it already contains is granted.
 */
function adoptPage(
  context: pageStates.BatchContext,
  key: string,
  found: pageStates.PageState,
  object: messages.StoredObject | undefined,
): pageStates.BatchResult {
  const parsed = object ? page.parsePage(object.value) : undefined;
  if (parsed?.isErr()) return refuse(context, key, found);
  const value = parsed?.isOk() ? parsed.value : page.emptyPage();
  Object.assign(found, { version: object?.version ?? 0, value, isLoaded: true });
  if (found.batch) Object.assign(found.batch, { isReadFresh: true, failures: 0 });
  return applyAndWrite(context, key, found);
}

/**
 * Reads the page again, since only the object shows whether the write took effect. Reports the
 * platform as unavailable at the second failure in a row.
 */
function onUnavailable(
  context: pageStates.BatchContext,
  key: string,
  found: pageStates.PageState,
): pageStates.BatchResult {
  Object.assign(found, { isLoaded: false });
  if (!found.batch) return EMPTY_RESULT;
  Object.assign(found.batch, { failures: found.batch.failures + 1 });
  if (found.batch.failures > 1) return { ...EMPTY_RESULT, isPlatformUnavailable: true };
  return read(context, key, found);
}

function finish(
  context: pageStates.BatchContext,
  key: string,
  found: pageStates.PageState,
): pageStates.BatchResult {
  const { items, applyResult } = found.batch ?? { items: [], applyResult: undefined };
  Object.assign(found, { batch: undefined });
  const all = items.map<pageStates.Completion>((item, at) => ({
    item,
    result: applyResult?.applied[at] ?? { kind: 'overtaken' },
  }));
  const overflowing = all.filter(({ item, result }) => isOverflow(item, result));
  const overflowResults = overflowing.map(({ item }) =>
    enqueue(context, { ...item, overflowDepth: item.overflowDepth + 1 }),
  );
  const next = flushIfDue(context, key);
  const done = all.filter((each) => !overflowing.includes(each));
  return [...overflowResults, next].reduce<pageStates.BatchResult>(mergeResults, {
    ...EMPTY_RESULT,
    completions: done,
  });
}

function isOverflow(
  { overflowDepth }: pageStates.PendingOperation,
  result: peerMessages.Result,
): boolean {
  return result.kind === 'descend' && overflowDepth < MAX_OVERFLOW_DEPTH;
}

function mergeResults(
  one: pageStates.BatchResult,
  other: pageStates.BatchResult,
): pageStates.BatchResult {
  return {
    commands: [...one.commands, ...other.commands],
    completions: [...one.completions, ...other.completions],
    isPlatformUnavailable: one.isPlatformUnavailable || other.isPlatformUnavailable,
  };
}

/** Ends a batch without applying it, because the page cannot be decoded. */
function refuse(
  context: pageStates.BatchContext,
  key: string,
  found: pageStates.PageState,
): pageStates.BatchResult {
  if (found.batch) Object.assign(found.batch, { applyResult: undefined });
  Object.assign(found, { isLoaded: false });
  return finish(context, key, found);
}

/**
 * Stops all writes until `resume`, and returns the pending operations of peers as unavailable.
 * Operations of a batch in flight stay in it, since its write may still get a response.
 */
export function suspend(batches: pageStates.Batches): readonly pageStates.Completion[] {
  Object.assign(batches, { isSuspended: true });
  const isOwn = ({ requester }: pageStates.PendingOperation) => requester.kind === 'own';
  return [...batches.pages.values()].flatMap((found) => {
    const returned = found.pending.filter((item) => !isOwn(item));
    Object.assign(found, { pending: found.pending.filter(isOwn) });
    return returned.map<pageStates.Completion>((item) => ({
      item,
      result: { kind: 'unavailable' },
    }));
  });
}

/**
 * Ends a suspension: reads the pages with a batch in flight, and starts due batches of the others.
 */
export function resume(context: pageStates.BatchContext): pageStates.BatchResult {
  const { batches } = context;
  Object.assign(batches, { isSuspended: false });
  return [...batches.pages]
    .map(([key, found]) => (found.batch ? read(context, key, found) : flushIfDue(context, key)))
    .reduce(mergeResults, EMPTY_RESULT);
}

/** Evicts the least recently used idle pages. */
function evictIdle({ pages }: pageStates.Batches): pageStates.BatchResult {
  if (pages.size <= MAX_IDLE_PAGES) return EMPTY_RESULT;
  const idle = [...pages].filter(([, { pending, batch }]) => !batch && pending.length === 0);
  idle.slice(0, Math.max(0, idle.length - MAX_IDLE_PAGES)).forEach(([key]) => pages.delete(key));
  return EMPTY_RESULT;
}
