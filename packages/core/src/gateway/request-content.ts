/** Names what a request asks for: the same for each of its caller's attempts, at every instance. */
import * as crypto from 'node:crypto';

import type * as request from './request.js';

const NAME_LENGTH = 32;

export function nameOf(
  { method, host, path, body }: Pick<request.Request, 'method' | 'host' | 'path' | 'body'>,
  clientAccount: string,
): string {
  const hash = crypto.createHash('sha256');
  // The lengths keep names unique whatever characters the texts hold.
  [method, host, path, clientAccount].forEach((text) => hash.update(`${text.length}:${text}`));
  return hash.update(body).digest('hex').slice(0, NAME_LENGTH);
}
