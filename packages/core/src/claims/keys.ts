/**
 * Where the claim of a key lives. A key that carries its time (a UUID of version 7, RFC 9562) is
 * claimed on the page of that second, so that the claims of one moment share few writes and old
 * pages are reused. Any other key is claimed on a page chosen by hash. Pure functions of the key.
 */
import * as crypto from 'node:crypto';

/** Time that one page of time-bearing keys covers. */
export const BUCKET_MS = 1_000;
/** Pages of time-bearing keys; a page is reused after this many buckets (two days). */
export const RING_BUCKETS = 172_800;
/** The longest retention that the ring of pages allows, an hour short of its reuse. */
export const MAX_RETENTION_MS = (RING_BUCKETS - 3_600) * BUCKET_MS;
/** How far a key's time may lie ahead of this instance's clock. */
export const MAX_CLOCK_SKEW_MS = 60_000;
/** First pages over which the other keys are spread. */
export const HASHED_PAGES = 64;
export const PAGE_PREFIX = 'claims/';

/** The page on which the search for a key starts, and the key's name on every page. */
export type Location = {
  page: string;
  /** SHA-256 over account and key; its digits choose the page behind a full one. */
  name: string;
  /** Number of the second of the key's time; 0 for a key that carries none. */
  bucket: number;
};

const UUID_V7 = /^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;
const TIME_DIGITS = 12;

/** Milliseconds since 1970 that a key of version 7 carries; nothing for any other key. */
export function parseTimeMs(key: string): number | undefined {
  if (!UUID_V7.test(key)) return undefined;
  return Number.parseInt(key.replaceAll('-', '').slice(0, TIME_DIGITS), 16);
}

/** No account can make the name of another account's claim. */
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

/** The page behind `depth` full ones: each adds one digit of the name. */
export function overflowPageKey(place: Location, depth: number): string {
  return depth === 0 ? place.page : `${place.page}.${place.name.slice(0, depth)}`;
}

export type AgeClass = 'valid' | 'expired' | 'from-future';

/** A key without a time is valid: only its page knows how old it is. */
export function classifyAge(key: string, wallMs: number, retentionMs: number): AgeClass {
  const timeMs = parseTimeMs(key);
  if (timeMs === undefined) return 'valid';
  if (timeMs > wallMs + MAX_CLOCK_SKEW_MS) return 'from-future';
  return timeMs < wallMs - Math.min(retentionMs, MAX_RETENTION_MS) ? 'expired' : 'valid';
}
