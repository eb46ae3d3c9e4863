/** Validates the engines' published protocol of JSON lines, so that decisions get typed values. */
import * as core from '@medlarweir/core';
import * as zod from 'zod';

const sequence = zod.number().int().nonnegative();
const count = zod.number().int().nonnegative();

const engineReportSchema = zod.discriminatedUnion('kind', [
  zod.object({ kind: zod.literal('piece-cached'), sequence, piece: zod.string() }),
  zod.object({ kind: zod.literal('piece-evicted'), sequence, piece: zod.string() }),
  zod.object({ kind: zod.literal('snapshot'), sequence, pieces: zod.array(zod.string()) }),
  zod.object({
    kind: zod.literal('load'),
    running: count,
    waiting: count,
    temperature: zod.enum(['cold', 'warm']),
    weightVersion: zod.string(),
  }),
]);

const runLineSchema = zod.discriminatedUnion('kind', [
  zod.object({
    kind: zod.literal('started'),
    runId: zod.string(),
    promptTokens: count,
    reusedTokens: count,
    importedTokens: count,
  }),
  zod.object({
    kind: zod.literal('token'),
    runId: zod.string(),
    offset: count,
    text: zod.string(),
  }),
  zod.object({
    kind: zod.literal('ended'),
    runId: zod.string(),
    finish: zod.enum(['stop', 'length', 'cancelled']),
    tokens: count,
  }),
]);

const importedSchema = zod.object({
  seen: zod.array(
    zod.object({
      piece: zod.string(),
      slotIncarnation: zod.string(),
      storeIncarnation: zod.string(),
      lengthBytes: count,
      checksum: zod.string(),
    }),
  ),
});

const exportedSchema = zod.object({ exported: zod.array(zod.string()) });

export type RunLine = zod.infer<typeof runLineSchema>;

/** The decoder returns `undefined` if the text is not JSON or does not match the schema. */
function createDecoder<Value>(schema: zod.ZodType<Value>): (text: string) => Value | undefined {
  return (text) => {
    try {
      const checked = schema.safeParse(JSON.parse(text));
      return checked.success ? checked.data : undefined;
    } catch {
      return undefined;
    }
  };
}

export const decodeEngineReport: (text: string) => core.messages.EngineReport | undefined =
  createDecoder(engineReportSchema);
export const decodeRunLine = createDecoder(runLineSchema);
export const decodeImported = createDecoder(importedSchema);
export const decodeExported = createDecoder(exportedSchema);
