/** Renders the documentation pages and tables that are generated from data in the code. */
import * as fs from 'node:fs';

import * as core from '@medlarweir/core';
import * as medlarctl from 'medlarctl';

export function renderCodesPage(): string {
  const rows = Object.entries(core.results.resultCodes)
    .sort(([, a], [, b]) => a.number - b.number)
    .map(
      ([name, { number, status, title, hint }]) =>
        `| ${number} | \`${name}\` | ${status} | ${title} | ${hint} |`,
    );
  return renderPage(
    'Result codes',
    CODES_TEXT,
    '| code | name | HTTP status | meaning | what to do |',
    5,
    rows,
  );
}

export function renderEventsPage(): string {
  const rows = Object.entries(core.events.catalogue)
    .sort(([, a], [, b]) => a.number - b.number)
    .map(([name, { number, level, text }]) => `| ${number} | \`${name}\` | ${level} | ${text} |`);
  return renderPage('Event catalogue', EVENTS_TEXT, '| event | name | level | text |', 4, rows);
}

const CODES_TEXT =
  'Made from `packages/core/src/results/codes.ts` by `npm run docs`; a test compares the two.';
const EVENTS_TEXT =
  'Made from `packages/core/src/events/catalogue.ts` by `npm run docs`; a test compares the two.';

function renderPage(
  title: string,
  text: string,
  head: string,
  columns: number,
  rows: readonly string[],
): string {
  return [`# ${title}`, '', text, '', renderTable(head, columns, rows), ''].join('\n');
}

function renderSettingsTable(): string {
  const rows = core.settings.settingNames.map((name) => {
    const { text, fallback } = core.settings.describe(name);
    const flag = `--${core.settings.flagName(name)}`;
    const shown = fallback.kind === 'value' ? `\`${fallback.value}\`` : fallback.kind;
    return `| \`${flag}\` | \`${core.settings.environmentName(name)}\` | ${shown} | ${text} |`;
  });
  return renderTable('| flag | environment | default | meaning |', 4, rows);
}

function renderCommandsTable(): string {
  const rows = medlarctl.registry.list().map(({ name, usage, summary }) => {
    const invocation = `${name} ${usage}`.trim().replaceAll('|', '\\|');
    return `| \`${invocation}\` | ${summary.replaceAll('|', '\\|')} |`;
  });
  return renderTable('| command | what it does |', 2, rows);
}

type ExitCode = { code: number; meaning: string };

function renderExitCodesTable(codes: readonly ExitCode[]): string {
  const rows = codes.map(({ code, meaning }) => `| ${code} | ${meaning} |`);
  return renderTable('| code | meaning |', 2, rows);
}

/**
 * Renders the operators' page, which is written by hand except for the sections between its
 * markers.
 */
export function renderOperatingPage(): string {
  const sections: Readonly<Record<string, string>> = {
    settings: renderSettingsTable(),
    commands: renderCommandsTable(),
    'medlarweir-exit-codes': renderExitCodesTable(core.binary.EXIT_CODES),
    'medlarctl-exit-codes': renderExitCodesTable(medlarctl.exitCodes.ALL),
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
  if (from < 0 || to < from) throw new Error(`${OPERATING_PAGE}: no markers for section ${name}`);
  return `${text.slice(0, from)}${begin}\n\n${section}\n\n${text.slice(to)}`;
}

function renderTable(head: string, columns: number, rows: readonly string[]): string {
  return [head, `|${' --- |'.repeat(columns)}`, ...rows].join('\n');
}

/** The generated pages, with their paths relative to the repository root. */
export const PAGES = [
  { path: 'docs/CODES.md', render: renderCodesPage },
  { path: 'docs/EVENTS.md', render: renderEventsPage },
  { path: OPERATING_PAGE, render: renderOperatingPage },
] as const;
