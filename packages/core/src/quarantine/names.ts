/** Names of parts, as keys in memory and as objects of the platform. */
import * as crypto from 'node:crypto';

const OBJECT_NAME_LENGTH = 32;

/** The length of the model keeps keys unique whatever characters the two names hold. */
export function partKey(model: string, id: string): string {
  return `${model.length}:${model}:${id}`;
}

/** Part names come from callers and may hold any character, so objects are named by a digest. */
export function objectName(model: string, part: string): string {
  return crypto
    .createHash('sha256')
    .update(partKey(model, part))
    .digest('hex')
    .slice(0, OBJECT_NAME_LENGTH);
}
