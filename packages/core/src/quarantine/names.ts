/** Names of parts, as keys in memory and as objects of the platform. */
import * as crypto from 'node:crypto';

const OBJECT_NAME_LENGTH = 32;

/** The length of the model keeps keys unique whatever characters the two names hold. */
export function partKey(model: string, id: string): string {
  return `${model.length}:${model}:${id}`;
}

/** Stands in the place of a model for requests without a prompt. */
export const NO_MODEL = '-';

const REQUEST = 'request-';

/** A whole request, named beside the parts of its prompt. Names of parts are hexadecimal. */
export function ofRequest(content: string): string {
  return `${REQUEST}${content}`;
}

/** For journals and refusals. */
export function describe(model: string, name: string): string {
  return isOfRequest(name) ? name : `part ${name} of ${model}`;
}

export function isOfRequest(name: string): boolean {
  return name.startsWith(REQUEST);
}

/** Part names come from callers and may hold any character, so objects are named by a digest. */
export function objectName(model: string, part: string): string {
  return crypto
    .createHash('sha256')
    .update(partKey(model, part))
    .digest('hex')
    .slice(0, OBJECT_NAME_LENGTH);
}
