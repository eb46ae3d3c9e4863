/**
 * Formats and parses salts, the name spaces of shared context. Two prompts can share context only under
 * the same salt, so it holds all that must not be mixed: model, weight version, and an isolated account.
 */
const SEPARATOR = '/';

export type Salt = { model: string; version: number; isolatedAccount: string | undefined };

export function format({ model, version, isolatedAccount }: Salt): string {
  const parts = ['mw', model, String(version), ...(isolatedAccount ? [isolatedAccount] : [])];
  return parts.map((part) => encodeURIComponent(part)).join(SEPARATOR);
}

/** Parses a text that `format` produced; undefined for any other text. */
export function parse(text: string): Salt | undefined {
  const [prefix, model, version, account] = text.split(SEPARATOR).map(decode);
  if (prefix !== 'mw' || !model || !Number.isInteger(Number(version))) return undefined;
  return { model, version: Number(version), isolatedAccount: account };
}

/** A salt of another writer may hold a stray percent sign; it is not ours, and that part decodes to `''`. */
function decode(part: string): string {
  try {
    return decodeURIComponent(part);
  } catch {
    return '';
  }
}
