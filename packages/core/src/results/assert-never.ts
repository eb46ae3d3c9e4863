/** Ends an exhaustive switch. The compiler rejects a switch that omits a variant. */
export function assertNever(variant: never): never {
  throw new Error(`unexpected variant: ${JSON.stringify(variant)}`);
}
