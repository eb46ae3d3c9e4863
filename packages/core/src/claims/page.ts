/**
 * A page of claims: one platform object with the claims of many keys, so that one conditional
 * update can record many of them. Pure: applies operations and returns the result of each.
 *
 * A full page accepts no new claims and stays full: a key that is not on a full page belongs to the
 * next overflow page. So each key has exactly one page at any time, and no claim is ever moved
 * between objects.
 */
import * as neverthrow from 'neverthrow';
import * as zod from 'zod';

import * as results from '../results/index.js';
import * as outcomes from './outcomes.js';

/** A larger page accepts no new claims; the rest of the object is reserved for answers. */
export const FULL_BYTES = 262_144;
/** An answer that would make the page larger than this is not kept. */
export const MAX_PAGE_BYTES = 900_000;

const entrySchema = zod.object({
  digest: zod.string(),
  attemptId: zod.string(),
  /** Time of the claim by the wall clock of its instance, in milliseconds since 1970. */
  atMs: zod.number(),
  /** From this time on, an attempt without a recorded outcome counts as lost. */
  lapsesAtMs: zod.number(),
  outcome: outcomes.storedSchema,
});
const pageSchema = zod.object({
  /** Number of the second whose keys the page holds; 0 on pages chosen by hash. */
  bucket: zod.number(),
  isFull: zod.boolean(),
  /** Size of the claims as JSON. */
  bytes: zod.number(),
  claims: zod.record(zod.string(), entrySchema),
});
export const operationSchema = zod.discriminatedUnion('kind', [
  zod.object({
    kind: zod.literal('claim'),
    digest: zod.string(),
    attemptId: zod.string(),
    atMs: zod.number(),
    lapsesAtMs: zod.number(),
  }),
  zod.object({
    kind: zod.literal('record'),
    attemptId: zod.string(),
    outcome: outcomes.reportedSchema,
  }),
]);
export const operationResultSchema = zod.discriminatedUnion('kind', [
  zod.object({ kind: zod.literal('granted') }),
  zod.object({ kind: zod.literal('found'), outcome: outcomes.storedSchema }),
  zod.object({ kind: zod.literal('key-reused') }),
  zod.object({ kind: zod.literal('key-expired') }),
  zod.object({ kind: zod.literal('noted') }),
  /** The page does not hold this attempt. */
  zod.object({ kind: zod.literal('overtaken') }),
  /** The page is full and the key belongs to the next overflow page. */
  zod.object({ kind: zod.literal('descend') }),
]);

type Entry = zod.infer<typeof entrySchema>;
export type Page = zod.infer<typeof pageSchema>;
/** One operation on the claim of one key. */
export type Operation = zod.infer<typeof operationSchema>;
export type OperationResult = zod.infer<typeof operationResultSchema>;
type Claim = Extract<Operation, { kind: 'claim' }>;
type Target = { name: string; bucket: number };
/** Current time and retention, which determine whether a claim has expired. */
export type RetentionWindow = { wallMs: number; retentionMs: number };

/** Pages chosen by hash evict a claim only after this many times the retention. */
const EVICT_AFTER_RETENTIONS = 7;

export function emptyPage(bucket = 0): Page {
  return { bucket, isFull: false, bytes: 0, claims: {} };
}

export function parsePage(found: unknown): neverthrow.Result<Page, results.Failure> {
  const checked = pageSchema.safeParse(found);
  if (checked.success) return neverthrow.ok(checked.data);
  return neverthrow.err(results.failure('platformMalformed', checked.error.message));
}

type PageChange = { page: Page; applied: OperationResult; isChanged: boolean };

/** Applies operations in order to a copy of the page. */
export function applyAll(
  page: Page,
  operations: readonly { target: Target; operation: Operation }[],
  retention: RetentionWindow,
): { page: Page; applied: readonly OperationResult[]; isChanged: boolean } {
  let draft: Page = { ...page, claims: { ...page.claims } };
  let isChanged = false;
  const applied = operations.map(({ target, operation }) => {
    const change = apply(draft, target, operation, retention);
    draft = change.page;
    isChanged ||= change.isChanged;
    return change.applied;
  });
  return { page: isChanged ? draft : page, applied, isChanged };
}

/** Updates the draft in place, or replaces it by an empty page if the target has a later bucket. */
function apply(
  draft: Page,
  target: Target,
  operation: Operation,
  retention: RetentionWindow,
): PageChange {
  if (target.bucket < draft.bucket) return unchanged(draft, { kind: 'key-expired' });
  const current = target.bucket > draft.bucket ? emptyPage(target.bucket) : draft;
  const change = applyTo(current, target.name, operation, retention);
  return change.isChanged ? change : unchanged(draft, change.applied);
}

function applyTo(
  page: Page,
  name: string,
  operation: Operation,
  retention: RetentionWindow,
): PageChange {
  const found = page.claims[name];
  switch (operation.kind) {
    case 'claim':
      return found
        ? claimExisting(page, name, found, operation, retention)
        : claimNew(page, name, operation, retention);
    case 'record':
      return found
        ? recordOutcome(page, name, found, operation)
        : unchanged(page, { kind: page.isFull ? 'descend' : 'overtaken' });
    default:
      return results.assertNever(operation);
  }
}

function unchanged(page: Page, applied: OperationResult): PageChange {
  return { page, applied, isChanged: false };
}

function changed(page: Page, applied: OperationResult): PageChange {
  return { page, applied, isChanged: true };
}

function claimNew(
  page: Page,
  name: string,
  operation: Claim,
  retention: RetentionWindow,
): PageChange {
  if (page.isFull) return unchanged(page, { kind: 'descend' });
  const { digest, attemptId, atMs, lapsesAtMs } = operation;
  put(page, name, { digest, attemptId, atMs, lapsesAtMs, outcome: { kind: 'claimed' } });
  if (page.bytes > FULL_BYTES) evictOldest(page, retention);
  return changed({ ...page, isFull: page.bytes > FULL_BYTES }, { kind: 'granted' });
}

/** Evicts the oldest claims of a page chosen by hash. Pages of one second are reused as a whole. */
function evictOldest(page: Page, { wallMs, retentionMs }: RetentionWindow): void {
  if (page.bucket !== 0) return;
  const beforeMs = wallMs - EVICT_AFTER_RETENTIONS * retentionMs;
  Object.entries(page.claims)
    .filter(([, { atMs }]) => atMs < beforeMs)
    .forEach(([name]) => remove(page, name));
}

/** Handles a claim of a key that is on the page already. Resolves a lapsed attempt as unknown. */
function claimExisting(
  page: Page,
  name: string,
  found: Entry,
  operation: Claim,
  { wallMs, retentionMs }: RetentionWindow,
): PageChange {
  const { outcome } = found;
  const isPending = outcome.kind === 'claimed';
  if (isPending && found.attemptId === operation.attemptId) {
    return unchanged(page, { kind: 'granted' });
  }
  if (found.atMs < wallMs - retentionMs) return unchanged(page, { kind: 'key-expired' });
  if (found.digest !== operation.digest) return unchanged(page, { kind: 'key-reused' });
  if (!isPending || wallMs < found.lapsesAtMs) return unchanged(page, { kind: 'found', outcome });
  const lapsed: Entry['outcome'] = { kind: 'unknown', by: 'lapse' };
  put(page, name, { ...found, outcome: lapsed });
  return changed(page, { kind: 'found', outcome: lapsed });
}

/** Records an outcome. Only the attempt that holds the claim may do so, and only once. */
function recordOutcome(
  page: Page,
  name: string,
  found: Entry,
  { attemptId, outcome }: Extract<Operation, { kind: 'record' }>,
): PageChange {
  if (found.attemptId !== attemptId) return unchanged(page, { kind: 'overtaken' });
  if (!mayRecordOutcome(found)) return unchanged(page, { kind: 'noted' });
  if (outcome.kind === 'not-run') {
    remove(page, name);
    return changed(page, { kind: 'noted' });
  }
  put(page, name, { ...found, outcome });
  if (page.bytes > MAX_PAGE_BYTES && outcome.kind === 'answered') {
    const { status } = outcome;
    put(page, name, { ...found, outcome: { kind: 'answer-not-kept', status } });
  }
  return changed(page, { kind: 'noted' });
}

/** The holder may still record the outcome of an attempt that others resolved as lapsed. */
function mayRecordOutcome({ outcome }: Entry): boolean {
  return outcome.kind === 'claimed' || (outcome.kind === 'unknown' && outcome.by === 'lapse');
}

function put(page: Page, name: string, entry: Entry): void {
  const before = sizeOf(name, page.claims[name]);
  Object.assign(page, { bytes: page.bytes - before + sizeOf(name, entry) });
  Object.assign(page.claims, { [name]: entry });
}

function remove(page: Page, name: string): void {
  Object.assign(page, { bytes: page.bytes - sizeOf(name, page.claims[name]) });
  Reflect.deleteProperty(page.claims, name);
}

function sizeOf(name: string, entry: Entry | undefined): number {
  return entry ? name.length + JSON.stringify(entry).length + 4 : 0;
}
