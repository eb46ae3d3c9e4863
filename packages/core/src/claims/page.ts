/**
 * A page of claims: one object of the platform that carries the claims of many keys, so that one
 * conditional update can record many of them. Pure: applies operations and says what came of each.
 */
import * as crypto from 'node:crypto';

import * as neverthrow from 'neverthrow';
import * as zod from 'zod';

import type * as messages from '../messages/index.js';
import * as results from '../results/index.js';

/** Pages over which the keys are spread. */
export const PAGE_COUNT = 64;
export const PAGE_PREFIX = 'claims/';

const storedClaim = zod.object({
  digest: zod.string(),
  attemptId: zod.string(),
  atMs: zod.number(),
  outcome: zod.discriminatedUnion('kind', [
    zod.object({ kind: zod.literal('claimed') }),
    zod.object({ kind: zod.literal('unknown') }),
    zod.object({
      kind: zod.literal('answered'),
      status: zod.number(),
      headers: zod.record(zod.string(), zod.string()),
      bodyBase64: zod.string(),
    }),
  ]),
});
const pageSchema = zod.object({ claims: zod.record(zod.string(), storedClaim) });

type StoredClaim = zod.infer<typeof storedClaim>;
export type Page = zod.infer<typeof pageSchema>;

export const EMPTY_PAGE: Page = { claims: {} };

export function parsePage(found: unknown): neverthrow.Result<Page, results.Failure> {
  const checked = pageSchema.safeParse(found);
  if (checked.success) return neverthrow.ok(checked.data);
  return neverthrow.err(results.failure('platformMalformed', checked.error.message));
}

/** One operation on a page, with the request that waits for it. */
export type Operation =
  | { kind: 'claim'; requestId: string; claim: messages.Claim }
  | { kind: 'record'; requestId: string; claim: messages.Claim; outcome: messages.RecordedOutcome };

export type Applied =
  | { kind: 'granted' }
  | { kind: 'recorded'; answer: messages.PlainAnswer }
  | { kind: 'in-progress' }
  | { kind: 'outcome-unknown' }
  | { kind: 'key-reused' }
  | { kind: 'noted' }
  /** Another attempt has taken the claim over; the outcome must not be written. */
  | { kind: 'overtaken' };

/** The name of a claim within its page: no account can make the name of another account's. */
export function claimName(clientAccount: string, key: string): string {
  return crypto
    .createHash('sha256')
    .update(JSON.stringify([clientAccount, key]))
    .digest('hex');
}

export function pageKey(clientAccount: string, key: string): string {
  const slot = Number.parseInt(claimName(clientAccount, key).slice(0, 8), 16) % PAGE_COUNT;
  return `${PAGE_PREFIX}${slot}`;
}

/** Applies one operation. Returns the same page if nothing changes. */
export function apply(
  page: Page,
  operation: Operation,
  wallMs: number,
): { page: Page; applied: Applied } {
  const { claim } = operation;
  const name = claimName(claim.clientAccount, claim.key);
  const found = page.claims[name];
  switch (operation.kind) {
    case 'claim':
      return found
        ? { page, applied: answerFromStored(found, claim) }
        : { page: put(page, name, fresh(claim, wallMs)), applied: { kind: 'granted' } };
    case 'record':
      return found?.attemptId === claim.attemptId
        ? { page: settle(page, name, found, operation.outcome), applied: { kind: 'noted' } }
        : { page, applied: { kind: 'overtaken' } };
    default:
      return results.never(operation);
  }
}

function fresh(claim: messages.Claim, wallMs: number): StoredClaim {
  const { digest, attemptId } = claim;
  return { digest, attemptId, atMs: wallMs, outcome: { kind: 'claimed' } };
}

function answerFromStored(found: StoredClaim, claim: messages.Claim): Applied {
  if (found.digest !== claim.digest) return { kind: 'key-reused' };
  const { outcome } = found;
  switch (outcome.kind) {
    case 'claimed':
      return found.attemptId === claim.attemptId ? { kind: 'granted' } : { kind: 'in-progress' };
    case 'unknown':
      return { kind: 'outcome-unknown' };
    case 'answered':
      return { kind: 'recorded', answer: decodeAnswer(outcome) };
    default:
      return results.never(outcome);
  }
}

function settle(
  page: Page,
  name: string,
  found: StoredClaim,
  outcome: messages.RecordedOutcome,
): Page {
  switch (outcome.kind) {
    case 'answered':
      return put(page, name, { ...found, outcome: encodeAnswer(outcome.answer) });
    case 'unknown':
      return put(page, name, { ...found, outcome: { kind: 'unknown' } });
    case 'not-run':
      return remove(page, name);
    default:
      return results.never(outcome);
  }
}

function put(page: Page, name: string, claim: StoredClaim): Page {
  return { claims: { ...page.claims, [name]: claim } };
}

function remove(page: Page, name: string): Page {
  const rest = Object.entries(page.claims).filter(([other]) => other !== name);
  return { claims: Object.fromEntries(rest) };
}

type StoredAnswer = Extract<StoredClaim['outcome'], { kind: 'answered' }>;

function encodeAnswer(answer: messages.PlainAnswer): StoredAnswer {
  return {
    kind: 'answered',
    status: answer.status,
    headers: { ...answer.headers },
    bodyBase64: Buffer.from(answer.body).toString('base64'),
  };
}

function decodeAnswer(stored: StoredAnswer): messages.PlainAnswer {
  return {
    status: stored.status,
    headers: stored.headers,
    body: Buffer.from(stored.bodyBase64, 'base64'),
  };
}
