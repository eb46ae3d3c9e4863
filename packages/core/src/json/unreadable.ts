/** Content that is not used, with the reason to tell. No JSON text can hold one. */
const REASON = Symbol('reason');

/** Written as JSON, it is an empty object. */
export type Unreadable = { readonly [REASON]: string };

export function unreadable(reason: string): Unreadable {
  return { [REASON]: reason };
}

/** Undefined if the value is other content. */
export function reasonOf(value: unknown): string | undefined {
  return typeof value === 'object' && value !== null && REASON in value
    ? (value as Unreadable)[REASON]
    : undefined;
}
