/** Splits keys of the platform's objects: a kind, a slash and a name. */

export function kindOf(prefix: string): string {
  return prefix.slice(0, prefix.indexOf('/'));
}

export function nameOf(key: string): string {
  return key.slice(key.indexOf('/') + 1);
}
