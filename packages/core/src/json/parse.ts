/**
 * Parses JSON text from outside the process. What is nested too deeply is left out before: functions that
 * recurse, such as `JSON.stringify`, would overflow the stack with it.
 */
import * as neverthrow from 'neverthrow';

export type Parsed = {
  value: unknown;
  /** Whether parts were nested too deeply; `isComplete` tells which values have none of them. */
  hasOmissions: boolean;
};

/** Several times that of any message. */
export const MAX_DEPTH = 64;
/** Stands in the value for what was left out. */
const OMITTED = '\u0000nested too deeply';

const QUOTE = 0x22;
const BACKSLASH = 0x5c;
const OPENING: ReadonlySet<number> = new Set([0x5b, 0x7b]);
const CLOSING: ReadonlySet<number> = new Set([0x5d, 0x7d]);

const parseText = neverthrow.Result.fromThrowable(
  (text: string): unknown => JSON.parse(text),
  () => 'not JSON' as const,
);

export function parse(text: string): neverthrow.Result<Parsed, 'not JSON'> {
  const bounded = omitDeep(text);
  const hasOmissions = bounded !== text;
  return parseText(bounded).map((value) => ({ value, hasOmissions }));
}

/** Whether nothing was left out of the value. */
export function isComplete(value: unknown): boolean {
  if (typeof value !== 'object' || value === null) return value !== OMITTED;
  return Object.values(value).every(isComplete);
}

function omitDeep(text: string): string {
  const kept: string[] = [];
  let keptFrom = 0;
  let depth = 0;
  for (let at = 0; at < text.length; at += 1) {
    const code = text.charCodeAt(at);
    if (code === QUOTE) {
      at = endOfString(text, at);
    } else if (OPENING.has(code)) {
      depth += 1;
      if (depth === MAX_DEPTH + 1) {
        kept.push(text.slice(keptFrom, at), JSON.stringify(OMITTED));
        keptFrom = text.length;
      }
    } else if (CLOSING.has(code)) {
      if (depth === MAX_DEPTH + 1) keptFrom = at + 1;
      depth -= 1;
    }
  }
  return kept.length === 0 ? text : kept.join('') + text.slice(keptFrom);
}

/** The place of the quote that ends the string which begins at `start`. */
function endOfString(text: string, start: number): number {
  let at = start + 1;
  while (at < text.length && text.charCodeAt(at) !== QUOTE) {
    at += text.charCodeAt(at) === BACKSLASH ? 2 : 1;
  }
  return at;
}
