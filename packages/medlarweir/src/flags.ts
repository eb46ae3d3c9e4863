/** The command line of `medlarweir`: every setting is a flag, made from the schema. */
import * as util from 'node:util';

import * as core from '@medlarweir/core';
import * as neverthrow from 'neverthrow';

export type Wish =
  | { kind: 'run'; settings: core.settings.Settings }
  | { kind: 'check'; settings: core.settings.Settings }
  | { kind: 'help' }
  | { kind: 'version' };

type Flags = Record<string, string | boolean | undefined>;

export function parse(
  argv: readonly string[],
  environment: Readonly<Record<string, string | undefined>>,
): neverthrow.Result<Wish, core.results.Failure> {
  return parseFlags(argv).andThen((flags) => {
    if (flags.help === true) return neverthrow.ok<Wish>({ kind: 'help' });
    if (flags.version === true) return neverthrow.ok<Wish>({ kind: 'version' });
    return core.settings
      .parse(flags as Record<string, string | undefined>, environment)
      .map((settings): Wish => ({ kind: flags.check === true ? 'check' : 'run', settings }));
  });
}

const parseFlags = neverthrow.Result.fromThrowable(
  (argv: readonly string[]): Flags => {
    const strings = core.settings.settingNames.map((name) => [
      core.settings.flagName(name),
      { type: 'string' as const },
    ]);
    const options: util.ParseArgsConfig['options'] = {
      ...(Object.fromEntries(strings) as Record<string, { type: 'string' }>),
      help: { type: 'boolean', short: 'h' },
      version: { type: 'boolean', short: 'v' },
      check: { type: 'boolean' },
    };
    return util.parseArgs({ args: [...argv], options, strict: true }).values as Flags;
  },
  (error) => core.results.failure('invalidInput', explainFlags(error as NodeJS.ErrnoException)),
);

/** A word that stands alone is not shown: it may be a secret whose flag was forgotten. */
function explainFlags({ code, message }: NodeJS.ErrnoException): string {
  if (code !== 'ERR_PARSE_ARGS_UNEXPECTED_POSITIONAL') return message;
  return 'expected flags and their values only; found a word that belongs to no flag';
}

export function helpText(): string {
  const lines = core.settings.settingNames.map(
    (name) =>
      `  --${core.settings.flagName(name).padEnd(18)} ${core.settings.environmentName(name)}`,
  );
  return [
    'medlarweir: an entry instance.',
    '',
    'Usage: medlarweir [settings] [--check] [--help] [--version]',
    '',
    'Settings, as flags or in the environment (a flag goes first):',
    ...lines,
    '',
    '  --check              checks the settings and exits',
    '',
    'SIGTERM stops as planned: every stream is finished. A second one stops at once.',
    'Exit codes: 0 stopped as planned; 1 defect; 2 bad setting; 3 stopped at once.',
  ].join('\n');
}
