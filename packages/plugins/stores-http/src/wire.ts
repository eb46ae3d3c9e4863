/** Validates the stores' published protocol: a stream of JSON lines. */
import * as core from '@medlarweir/core';
import * as zod from 'zod';

const sequence = zod.number().int().nonnegative();

const manifestSchema = zod.object({
  piece: zod.string(),
  store: zod.string(),
  slot: zod.number().int(),
  slotIncarnation: zod.string(),
  storeIncarnation: zod.string(),
  lengthBytes: zod.number().int().nonnegative(),
  checksum: zod.string(),
  tier: zod.enum(['memory', 'disk']),
});

const reportSchema = zod.discriminatedUnion('kind', [
  zod.object({ kind: zod.literal('committed'), sequence, manifest: manifestSchema }),
  zod.object({ kind: zod.literal('dropped'), sequence, piece: zod.string() }),
  zod.object({
    kind: zod.literal('snapshot'),
    sequence,
    storeIncarnation: zod.string(),
    manifests: zod.array(manifestSchema),
  }),
]);

/**
 * Decodes one line of the stream; returns `undefined` if it is not JSON or does not match the
 * schema.
 */
export function decodeReport(line: string): core.messages.StoreReport | undefined {
  try {
    const checked = reportSchema.safeParse(JSON.parse(line));
    return checked.success ? checked.data : undefined;
  } catch {
    return undefined;
  }
}
