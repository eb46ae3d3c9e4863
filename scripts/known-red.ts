/**
 * Reads `KNOWN-RED.txt`, the list of tests that fail because of known faults that are not fixed
 * yet.
 */
import * as fs from 'node:fs';

export type Entry = { test: string; command: string; seed: string; seen: string; issue: string };

const FIELDS = ['test', 'command', 'seed', 'seen', 'issue'] as const;

/**
 * Entries are blocks of `field: text` lines, separated by blank lines; lines with a leading `#` are
 * comments.
 */
export function parse(text: string): readonly Entry[] {
  return text
    .split('\n')
    .filter((line) => !line.startsWith('#'))
    .join('\n')
    .split(/\n\s*\n/)
    .map((block) => block.trim())
    .filter((block) => block !== '')
    .map(parseBlock);
}

function parseBlock(block: string): Entry {
  const pairs = block.split('\n').map((line) => {
    const [field = '', ...rest] = line.split(':');
    return [field.trim(), rest.join(':').trim()] as const;
  });
  const entry = Object.fromEntries(pairs);
  const missing = FIELDS.filter((field) => entry[field] === undefined);
  if (missing.length > 0) throw new Error(`KNOWN-RED.txt: ${missing.join(', ')} missing: ${block}`);
  return entry as Entry;
}

export function read(file: string): readonly Entry[] {
  return fs.existsSync(file) ? parse(fs.readFileSync(file, 'utf8')) : [];
}
