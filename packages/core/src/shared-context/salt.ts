/**
 * The name space of kept context. Two prompts can share context only under the same salt, so the salt
 * holds everything that must not be mixed: model, weight version, and the account if it is isolated.
 */
const SEPARATOR = '/';

export type Salt = { model: string; version: number; isolatedAccount: string | undefined };

export function format({ model, version, isolatedAccount }: Salt): string {
  const parts = ['mw', model, String(version), ...(isolatedAccount ? [isolatedAccount] : [])];
  return parts.map((part) => encodeURIComponent(part)).join(SEPARATOR);
}

/** The salt of a text that `format` made; nothing for any other text. */
export function parse(text: string): Salt | undefined {
  const [own, model, version, account] = text.split(SEPARATOR).map(decode);
  if (own !== 'mw' || !model || !Number.isInteger(Number(version))) return undefined;
  return { model, version: Number(version), isolatedAccount: account };
}

/** A salt of another writer may hold a stray percent sign; it is no salt of ours then. */
function decode(part: string): string {
  try {
    return decodeURIComponent(part);
  } catch {
    return '';
  }
}
