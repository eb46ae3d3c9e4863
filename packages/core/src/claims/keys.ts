/**
 * Locates the page of an idempotency key's claim. A key that contains a timestamp (a UUID of
 * version 7, RFC 9562) is claimed on the page of that second, so that simultaneous claims share few
 * writes and old pages are reused. Any other key is claimed on a page chosen by hash. Pure
 * functions of the key.
 */
import * as crypto from 'node:crypto';

/** Time that one page of timestamped keys covers. */
export const BUCKET_MS = 1_000;
/** Number of pages for timestamped keys. A page is reused after this many buckets (two days). */
export const RING_BUCKETS = 172_800;
/** Maximum retention that the ring of pages allows: one hour less than the time until reuse. */
export const MAX_RETENTION_MS = (RING_BUCKETS - 3_600) * BUCKET_MS;
/** How far a key's timestamp may be ahead of this instance's clock. */
export const MAX_CLOCK_SKEW_MS = 60_000;
/** Number of pages, not counting overflow pages, over which other keys are spread by hash. */
export const HASHED_PAGES = 64;
export const PAGE_PREFIX = 'claims/';

/** The first page to search for a key, and the key's name on every page. */
export type Location = {
  page: string;
  /** SHA-256 of account and key, in hexadecimal. Its digits select the overflow pages. */
  name: string;
  /** Number of the second of the key's timestamp; 0 for a key without one. */
  bucket: number;
};

const UUID_V7 = /^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;
const TIME_DIGITS = 12;

/** The timestamp of a version 7 key in milliseconds since 1970; `undefined` for any other key. */
export function parseTimeMs(key: string): number | undefined {
  if (!UUID_V7.test(key)) return undefined;
  return Number.parseInt(key.replaceAll('-', '').slice(0, TIME_DIGITS), 16);
}

/** Hashes the account with the key, so that no account can produce the name of another's claim. */
export function hashKey(clientAccount: string, key: string): string {
  return crypto
    .createHash('sha256')
    .update(JSON.stringify([clientAccount, key]))
    .digest('hex');
}

export function locate(clientAccount: string, key: string): Location {
  const name = hashKey(clientAccount, key);
  const timeMs = parseTimeMs(key);
  if (timeMs === undefined) {
    const slot = Number.parseInt(name.slice(-4), 16) % HASHED_PAGES;
    return { page: `${PAGE_PREFIX}hashed/${slot}`, name, bucket: 0 };
  }
  const bucket = Math.floor(timeMs / BUCKET_MS);
  return { page: `${PAGE_PREFIX}timed/${bucket % RING_BUCKETS}`, name, bucket };
}

/** Key of the overflow page after `depth` full ones: each level adds one digit of the name. */
export function overflowPageKey(place: Location, depth: number): string {
  return depth === 0 ? place.page : `${place.page}.${place.name.slice(0, depth)}`;
}

export type AgeClass = 'valid' | 'expired' | 'from-future';

/** A key without a timestamp is `valid`: its age is checked on its page. */
export function classifyAge(key: string, wallMs: number, retentionMs: number): AgeClass {
  const timeMs = parseTimeMs(key);
  if (timeMs === undefined) return 'valid';
  if (timeMs > wallMs + MAX_CLOCK_SKEW_MS) return 'from-future';
  return timeMs < wallMs - Math.min(retentionMs, MAX_RETENTION_MS) ? 'expired' : 'valid';
}
