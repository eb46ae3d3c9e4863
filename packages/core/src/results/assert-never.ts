/** Ends an exhaustive switch. The compiler refuses a switch that leaves a variant out. */
export function assertNever(variant: never): never {
  throw new Error(`unexpected variant: ${JSON.stringify(variant)}`);
}
