/** The platform's published protocol: JSON over HTTP. Checked here, so decisions see typed values. */
import * as core from '@medlarweir/core';
import * as neverthrow from 'neverthrow';
import * as zod from 'zod';

export const storedObject = zod.object({
  key: zod.string(),
  version: zod.number().int().nonnegative(),
  value: zod.unknown(),
  writeId: zod.string(),
});

export const listedInstance = zod.object({
  name: zod.string(),
  dataCentre: zod.string(),
  peers: zod.string(),
  state: zod.enum(['live', 'leaving']),
});

export const written = zod.object({ version: zod.number().int() });
export const conflict = zod.object({ current: storedObject.nullable() });
export const objects = zod.object({ objects: zod.array(storedObject) });
export const watched = zod.object({
  revision: zod.number().int(),
  objects: zod.array(storedObject),
});
export const instances = zod.object({
  revision: zod.number().int(),
  instances: zod.array(listedInstance),
});

/** Decodes one body; a fault names what was read and the field. */
export function decode<Value>(
  schema: zod.ZodType<Value>,
  text: string,
  what: string,
): neverthrow.Result<Value, core.results.Failure> {
  const parsed = parseJson(text);
  if (parsed.isErr()) return neverthrow.err(malformed(`${what}: not JSON`));
  const checked = schema.safeParse(parsed.value);
  if (checked.success) return neverthrow.ok(checked.data);
  return neverthrow.err(malformed(`${what}: ${checked.error.issues[0]?.message ?? 'wrong shape'}`));
}

const parseJson = neverthrow.Result.fromThrowable(
  (text: string): unknown => JSON.parse(text),
  () => 'not JSON' as const,
);

function malformed(detail: string): core.results.Failure {
  return core.results.failure('platformMalformed', detail);
}
