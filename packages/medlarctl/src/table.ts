/** Renders plain-text tables for the terminal. */

export type Table = {
  title: string;
  header: readonly string[];
  rows: readonly (readonly string[])[];
};

/** Columns are as wide as their widest cell; a table without rows is rendered as `TITLE: none`. */
export function render({ title, header, rows }: Table): string {
  if (rows.length === 0) return `${title}: none`;
  const widths = header.map((cell, at) =>
    Math.max(cell.length, ...rows.map((row) => (row[at] ?? '').length)),
  );
  const line = (cells: readonly string[]) =>
    `  ${widths.map((width, at) => (cells[at] ?? '').padEnd(width)).join('  ')}`.trimEnd();
  return [title, line(header), ...rows.map(line)].join('\n');
}
