/** Finds the client account that a bearer credential belongs to. */
import * as crypto from 'node:crypto';

import type * as schema from '../configuration/schema.js';

export function digestCredential(credential: string): string {
  return crypto.createHash('sha256').update(credential).digest('hex');
}

/**
 * Compares with every account in constant time, so that timing reveals nothing about a credential.
 */
export function authenticate(
  accounts: readonly schema.ClientAccount[],
  credential: string,
): schema.ClientAccount | undefined {
  const digest = Buffer.from(digestCredential(credential), 'hex');
  const matches = accounts.filter((account) =>
    crypto.timingSafeEqual(digest, Buffer.from(account.credentialDigest, 'hex')),
  );
  return matches[0];
}
