/** The tables of the docs that are made from the code's data. */
import * as core from '@medlarweir/core';

export function codesTable(): string {
  const rows = Object.entries(core.results.table)
    .sort(([, a], [, b]) => a.number - b.number)
    .map(
      ([name, { number, status, title, hint }]) =>
        `| ${number} | \`${name}\` | ${status} | ${title} | ${hint} |`,
    );
  return page(
    'Result codes',
    CODES_TEXT,
    '| code | name | HTTP status | meaning | what to do |',
    5,
    rows,
  );
}

export function eventsTable(): string {
  const rows = Object.entries(core.events.catalogue)
    .sort(([, a], [, b]) => a.number - b.number)
    .map(([name, { number, level, text }]) => `| ${number} | \`${name}\` | ${level} | ${text} |`);
  return page('Event catalogue', EVENTS_TEXT, '| event | name | level | text |', 4, rows);
}

const CODES_TEXT =
  'Made from `packages/core/src/results/codes.ts` by `npm run docs`; a test compares the two.';
const EVENTS_TEXT =
  'Made from `packages/core/src/events/catalogue.ts` by `npm run docs`; a test compares the two.';

function page(
  title: string,
  text: string,
  head: string,
  columns: number,
  rows: readonly string[],
): string {
  const rule = `|${' --- |'.repeat(columns)}`;
  return [`# ${title}`, '', text, '', head, rule, ...rows, ''].join('\n');
}

/** Each generated page and its path from the root. */
export const PAGES = [
  { path: 'docs/CODES.md', render: codesTable },
  { path: 'docs/EVENTS.md', render: eventsTable },
] as const;
