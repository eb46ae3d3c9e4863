/** The stores' published protocol: a stream of JSON lines, checked here. */
import * as core from '@medlarweir/core';
import * as zod from 'zod';

const sequence = zod.number().int().nonnegative();

const manifest = zod.object({
  piece: zod.string(),
  store: zod.string(),
  slot: zod.number().int(),
  slotIncarnation: zod.string(),
  storeIncarnation: zod.string(),
  lengthBytes: zod.number().int().nonnegative(),
  checksum: zod.string(),
  tier: zod.enum(['memory', 'disk']),
});

const report = zod.discriminatedUnion('kind', [
  zod.object({ kind: zod.literal('committed'), sequence, manifest }),
  zod.object({ kind: zod.literal('dropped'), sequence, piece: zod.string() }),
  zod.object({
    kind: zod.literal('snapshot'),
    sequence,
    storeIncarnation: zod.string(),
    manifests: zod.array(manifest),
  }),
]);

/** One line of the stream, or nothing if it cannot be read. */
export function decodeReport(line: string): core.messages.StoreReport | undefined {
  try {
    const checked = report.safeParse(JSON.parse(line));
    return checked.success ? checked.data : undefined;
  } catch {
    return undefined;
  }
}
