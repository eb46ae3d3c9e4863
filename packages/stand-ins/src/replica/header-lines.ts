/** The header lines of an answer that is written to a socket. */
export function of(headers: Readonly<Record<string, string>>): string {
  return Object.entries(headers)
    .map(([name, value]) => `${name}: ${value}\r\n`)
    .join('');
}
