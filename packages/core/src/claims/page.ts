/**
 * A page of claims: one object of the platform that carries the claims of many keys, so that one
 * conditional update can record many of them. Pure: applies operations and says what came of each.
 *
 * A page takes no new claim once it is full, and it never becomes unfull: a key that a full page
 * lacks belongs to the page behind it. So a key has exactly one home at any time, and nothing is
 * ever moved between objects.
 */
import * as neverthrow from 'neverthrow';
import * as zod from 'zod';

import * as results from '../results/index.js';
import * as outcomes from './outcomes.js';

/** A page with more than this takes no new claims; the rest of the object is kept for answers. */
export const FULL_BYTES = 262_144;
/** Answers that would make a page larger than this are not kept. */
export const MAX_PAGE_BYTES = 900_000;

const entrySchema = zod.object({
  digest: zod.string(),
  attemptId: zod.string(),
  /** Wall clock of the claimer, in milliseconds since 1970. */
  atMs: zod.number(),
  /** From then on, an attempt of which nothing was recorded counts as lost. */
  lapsesAtMs: zod.number(),
  outcome: outcomes.storedSchema,
});
const pageSchema = zod.object({
  /** The second whose keys the page holds; 0 on pages chosen by hash. */
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
  /** The key belongs to the page behind this full one. */
  zod.object({ kind: zod.literal('descend') }),
]);

type Entry = zod.infer<typeof entrySchema>;
export type Page = zod.infer<typeof pageSchema>;
/** One operation on the claim of one key. */
export type Operation = zod.infer<typeof operationSchema>;
export type OperationResult = zod.infer<typeof operationResultSchema>;
type Claim = Extract<Operation, { kind: 'claim' }>;
type Target = { name: string; bucket: number };
/** What the age of claims is judged by. */
export type RetentionWindow = { wallMs: number; retentionMs: number };

/** Pages chosen by hash forget a claim only after this many times the retention. */
const FORGET_AFTER_RETENTIONS = 7;

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
  terms: RetentionWindow,
): { page: Page; applied: readonly OperationResult[]; isChanged: boolean } {
  let draft: Page = { ...page, claims: { ...page.claims } };
  let isChanged = false;
  const applied = operations.map(({ target, operation }) => {
    const operated = apply(draft, target, operation, terms);
    draft = operated.page;
    isChanged ||= operated.isChanged;
    return operated.applied;
  });
  return { page: isChanged ? draft : page, applied, isChanged };
}

/** Updates the draft in place, unless its bucket has passed and an empty page takes its place. */
function apply(
  draft: Page,
  target: Target,
  operation: Operation,
  terms: RetentionWindow,
): PageChange {
  if (target.bucket < draft.bucket) return unchanged(draft, { kind: 'key-expired' });
  const current = target.bucket > draft.bucket ? emptyPage(target.bucket) : draft;
  const operated = applyTo(current, target.name, operation, terms);
  return operated.isChanged ? operated : unchanged(draft, operated.applied);
}

function applyTo(
  page: Page,
  name: string,
  operation: Operation,
  terms: RetentionWindow,
): PageChange {
  const found = page.claims[name];
  switch (operation.kind) {
    case 'claim':
      return found
        ? claimExisting(page, name, found, operation, terms)
        : claimNew(page, name, operation, terms);
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

function claimNew(page: Page, name: string, operation: Claim, terms: RetentionWindow): PageChange {
  if (page.isFull) return unchanged(page, { kind: 'descend' });
  const { digest, attemptId, atMs, lapsesAtMs } = operation;
  put(page, name, { digest, attemptId, atMs, lapsesAtMs, outcome: { kind: 'claimed' } });
  if (page.bytes > FULL_BYTES) forgetOldest(page, terms);
  return changed({ ...page, isFull: page.bytes > FULL_BYTES }, { kind: 'granted' });
}

/** Pages of a second are reused as a whole; on other pages the oldest claims make room. */
function forgetOldest(page: Page, { wallMs, retentionMs }: RetentionWindow): void {
  if (page.bucket !== 0) return;
  const beforeMs = wallMs - FORGET_AFTER_RETENTIONS * retentionMs;
  Object.entries(page.claims)
    .filter(([, { atMs }]) => atMs < beforeMs)
    .forEach(([name]) => remove(page, name));
}

/** What a claim meets that is there already. A lapsed attempt is resolved here, by whoever asks. */
function claimExisting(
  page: Page,
  name: string,
  found: Entry,
  operation: Claim,
  { wallMs, retentionMs }: RetentionWindow,
): PageChange {
  const { outcome } = found;
  const isOpen = outcome.kind === 'claimed';
  if (isOpen && found.attemptId === operation.attemptId) {
    return unchanged(page, { kind: 'granted' });
  }
  if (found.atMs < wallMs - retentionMs) return unchanged(page, { kind: 'key-expired' });
  if (found.digest !== operation.digest) return unchanged(page, { kind: 'key-reused' });
  if (!isOpen || wallMs < found.lapsesAtMs) return unchanged(page, { kind: 'found', outcome });
  const lapsed: Entry['outcome'] = { kind: 'unknown', by: 'lapse' };
  put(page, name, { ...found, outcome: lapsed });
  return changed(page, { kind: 'found', outcome: lapsed });
}

/** Only the attempt that holds the claim may end it, and only once. */
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

/** The holder may still say what became of an attempt that others took for lost. */
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
