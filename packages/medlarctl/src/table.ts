/** Plain tables for people at a terminal. */

export type Table = {
  title: string;
  head: readonly string[];
  rows: readonly (readonly string[])[];
};

/** Columns are as wide as their widest cell; a table without rows says so. */
export function render({ title, head, rows }: Table): string {
  if (rows.length === 0) return `${title}: none`;
  const widths = head.map((cell, at) =>
    Math.max(cell.length, ...rows.map((row) => (row[at] ?? '').length)),
  );
  const line = (cells: readonly string[]) =>
    `  ${widths.map((width, at) => (cells[at] ?? '').padEnd(width)).join('  ')}`.trimEnd();
  return [title, line(head), ...rows.map(line)].join('\n');
}
