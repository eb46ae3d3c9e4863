/** Reads `KNOWN-RED.txt`: faults that are known, kept as failing tests, and not mended yet. */
import * as fs from 'node:fs';

export type Entry = { test: string; command: string; seed: string; seen: string; issue: string };

const FIELDS = ['test', 'command', 'seed', 'seen', 'issue'] as const;

/** Entries are blocks of `field: text` lines, parted by blank lines; `#` begins a remark. */
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
  const found = Object.fromEntries(pairs);
  const missing = FIELDS.filter((field) => found[field] === undefined);
  if (missing.length > 0) throw new Error(`KNOWN-RED.txt: ${missing.join(', ')} missing: ${block}`);
  return found as Entry;
}

export function read(file: string): readonly Entry[] {
  return fs.existsSync(file) ? parse(fs.readFileSync(file, 'utf8')) : [];
}
