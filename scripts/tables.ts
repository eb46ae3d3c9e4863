/** The tables of the docs that are made from the code's data. */
import * as fs from 'node:fs';

import * as core from '@medlarweir/core';
import * as medlarctl from 'medlarctl';

export function codesTable(): string {
  const rows = Object.entries(core.results.resultCodes)
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
  return [`# ${title}`, '', text, '', table(head, columns, rows), ''].join('\n');
}

function settingsTable(): string {
  const rows = core.settings.settingNames.map((name) => {
    const { text, fallback } = core.settings.describe(name);
    const flag = `--${core.settings.flagName(name)}`;
    const shown = fallback.kind === 'value' ? `\`${fallback.value}\`` : fallback.kind;
    return `| \`${flag}\` | \`${core.settings.environmentName(name)}\` | ${shown} | ${text} |`;
  });
  return table('| flag | environment | default | meaning |', 4, rows);
}

function commandsTable(): string {
  const rows = medlarctl.registry.commands().map(({ name, usage, summary }) => {
    const words = `${name} ${usage}`.trim().replaceAll('|', '\\|');
    return `| \`${words}\` | ${summary.replaceAll('|', '\\|')} |`;
  });
  return table('| command | what it does |', 2, rows);
}

type ExitCode = { code: number; meaning: string };

function exitCodesTable(codes: readonly ExitCode[]): string {
  const rows = codes.map(({ code, meaning }) => `| ${code} | ${meaning} |`);
  return table('| code | meaning |', 2, rows);
}

/** The operators' page: written by hand but for the sections between its marks. */
export function operatingPage(): string {
  const sections: Readonly<Record<string, string>> = {
    settings: settingsTable(),
    commands: commandsTable(),
    'medlarweir-exit-codes': exitCodesTable(core.binary.EXIT_CODES),
    'medlarctl-exit-codes': exitCodesTable(medlarctl.exitCodes.ALL),
  };
  return Object.entries(sections).reduce(
    (text, [name, section]) => replaceSection(text, name, section),
    fs.readFileSync(OPERATING_PAGE, 'utf8'),
  );
}

const OPERATING_PAGE = 'docs/OPERATING.md';

function replaceSection(text: string, name: string, section: string): string {
  const [begin, end] = [`<!-- ${name}: begin -->`, `<!-- ${name}: end -->`];
  const [from, to] = [text.indexOf(begin), text.indexOf(end)];
  if (from < 0 || to < from) throw new Error(`${OPERATING_PAGE}: no section ${name}`);
  return `${text.slice(0, from)}${begin}\n\n${section}\n\n${text.slice(to)}`;
}

function table(head: string, columns: number, rows: readonly string[]): string {
  return [head, `|${' --- |'.repeat(columns)}`, ...rows].join('\n');
}

/** Each generated page and its path from the root. */
export const PAGES = [
  { path: 'docs/CODES.md', render: codesTable },
  { path: 'docs/EVENTS.md', render: eventsTable },
  { path: OPERATING_PAGE, render: operatingPage },
] as const;
