/** Reads settings from flags and environment variables, for any schema. */
import * as neverthrow from 'neverthrow';
import type * as zod from 'zod';

import * as results from '../results/index.js';

type RawValues = Readonly<Record<string, string | undefined>>;

/** The help text of a setting, and its value if it is not given. */
export type Description = {
  text: string;
  fallback: { kind: 'required' } | { kind: 'none' } | { kind: 'value'; value: string };
};

export type Flags<Settings> = {
  names: readonly string[];
  describe(name: string): Description;
  /**
   * Merges both, flags taking precedence over the environment, and validates the result. An empty value
   * counts as not given: deployments fill in placeholders for which they have no value.
   */
  parse(flags: RawValues, environment: RawValues): neverthrow.Result<Settings, results.Failure>;
};

/** `balancerLagMs` is `--balancer-lag-ms` as a flag. */
export function flagName(name: string): string {
  return name.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`);
}

/** `balancerLagMs` is `MEDLARWEIR_BALANCER_LAG_MS` in the environment. */
export function environmentName(name: string): string {
  return `MEDLARWEIR_${flagName(name).replaceAll('-', '_').toUpperCase()}`;
}

export function create<Shape extends zod.ZodRawShape>(
  schema: zod.ZodObject<Shape>,
  secrets: readonly string[],
): Flags<zod.infer<zod.ZodObject<Shape>>> {
  const names = Object.keys(schema.shape);
  return {
    names,
    describe: (name) =>
      describe((schema.shape as unknown as Readonly<Record<string, zod.ZodType>>)[name]),
    parse(flags, environment) {
      const values = names.flatMap((name) => {
        const value = given(flags[flagName(name)]) ?? given(environment[environmentName(name)]);
        return value === undefined ? [] : [[name, value] as const];
      });
      const found = Object.fromEntries(values);
      const checked = schema.safeParse(found);
      if (checked.success) return neverthrow.ok(checked.data);
      const detail = explainIssues(checked.error, found, secrets);
      return neverthrow.err(results.failure('invalidInput', detail));
    },
  };
}

function given(text: string | undefined): string | undefined {
  return text === '' ? undefined : text;
}

function describe(field: zod.ZodType | undefined): Description {
  const text = field?.description ?? '';
  const left = field?.safeParse(undefined);
  if (!left?.success) return { text, fallback: { kind: 'required' } };
  if (left.data === undefined) return { text, fallback: { kind: 'none' } };
  const value = String(left.data);
  return { text, fallback: value === '' ? { kind: 'none' } : { kind: 'value', value } };
}

function explainIssues(
  error: zod.ZodError,
  found: Record<string, string>,
  secrets: readonly string[],
): string {
  const lines = error.issues.map((issue) => {
    const name = String(issue.path[0]);
    const shown = secrets.includes(name) ? 'a secret' : JSON.stringify(found[name]);
    const actual = found[name] === undefined ? 'nothing' : shown;
    return `--${flagName(name)} (${environmentName(name)}): ${issue.message}; found ${actual}`;
  });
  return lines.join('\n');
}
