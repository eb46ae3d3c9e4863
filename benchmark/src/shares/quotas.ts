/** The baseline `equal-shares`: an equal part of the capacity for each account, which nobody else may use. */
import type * as callers from './callers.js';

export type Quota = { take(call: callers.Call, nowMs: number): boolean };

/** Tokens that one engine reads in a ms besides its other work, about. */
const ENGINE_TOKENS_PER_MS = 45;
/** Work that an account may save up. */
const SAVED_MS = 1_000;
/** Share of a prompt that is read, as its shared part is mostly in the cache. */
const READ_SHARE = 0.4;

export function create(accounts: number, engines: number): Quota {
  const perMs = (ENGINE_TOKENS_PER_MS * engines) / Math.max(1, accounts);
  const buckets = new Map<string, { tokens: number; atMs: number }>();
  return {
    take({ account, prompt }, nowMs) {
      const known = buckets.get(account.name) ?? { tokens: perMs * SAVED_MS, atMs: nowMs };
      const filled = known.tokens + (nowMs - known.atMs) * perMs;
      const tokens = Math.min(perMs * SAVED_MS, filled);
      const work = prompt.parts.reduce((sum, each) => sum + each.tokens, 0) * READ_SHARE;
      const isAllowed = tokens >= work;
      buckets.set(account.name, { tokens: isAllowed ? tokens - work : tokens, atMs: nowMs });
      return isAllowed;
    },
  };
}
