/** The command line of a binary. Every setting of the schema is a flag. */
import * as util from 'node:util';

import * as neverthrow from 'neverthrow';

import * as results from '../results/index.js';
import * as settings from '../settings/flags.js';

export type Invocation<Settings> =
  | { kind: 'run'; settings: Settings }
  | { kind: 'check'; settings: Settings }
  | { kind: 'help' }
  | { kind: 'version' };

/** The description of a binary, from which its command line and help text are built. */
export type Program<Settings> = {
  name: string;
  summary: string;
  flags: settings.Flags<Settings>;
  /** The paragraph of the help text about stop signals. */
  signals: string;
};

type Values = Record<string, string | boolean | undefined>;

export function parse<Settings>(
  { flags }: Program<Settings>,
  argv: readonly string[],
  environment: Readonly<Record<string, string | undefined>>,
): neverthrow.Result<Invocation<Settings>, results.Failure> {
  return parseFlags(flags.names, argv).andThen((values) => {
    if (values.help === true) return neverthrow.ok<Invocation<Settings>>({ kind: 'help' });
    if (values.version === true) return neverthrow.ok<Invocation<Settings>>({ kind: 'version' });
    return flags
      .parse(values as Record<string, string | undefined>, environment)
      .map((given): Invocation<Settings> => ({
        kind: values.check === true ? 'check' : 'run',
        settings: given,
      }));
  });
}

const parseFlags = neverthrow.Result.fromThrowable(
  (names: readonly string[], argv: readonly string[]): Values => {
    const strings = names.map((name) => [settings.flagName(name), { type: 'string' as const }]);
    const options: util.ParseArgsConfig['options'] = {
      ...(Object.fromEntries(strings) as Record<string, { type: 'string' }>),
      help: { type: 'boolean', short: 'h' },
      version: { type: 'boolean', short: 'v' },
      check: { type: 'boolean' },
    };
    return util.parseArgs({ args: [...argv], options, strict: true }).values as Values;
  },
  (error) => results.failure('invalidInput', explainFlags(error as NodeJS.ErrnoException)),
);

/** Does not show a positional argument: it may be a secret whose flag was omitted. */
function explainFlags({ code, message }: NodeJS.ErrnoException): string {
  if (code !== 'ERR_PARSE_ARGS_UNEXPECTED_POSITIONAL') return message;
  return 'expected only flags and their values; found an argument that belongs to no flag';
}

/** The exit codes of the server binaries, shown in `docs/OPERATING.md`. */
export const EXIT_CODES: readonly { code: number; meaning: string }[] = [
  { code: 0, meaning: 'stopped as planned, or the settings are valid' },
  { code: 1, meaning: 'defect' },
  {
    code: 2,
    meaning: 'invalid setting; the message names it, what was expected and what was found',
  },
  { code: 3, meaning: 'stopped immediately by a second signal; open requests were cut off' },
  { code: 4, meaning: 'a task failed, such as one whose address is in use' },
];

export function helpText<Settings>({ name, summary, flags, signals }: Program<Settings>): string {
  const lines = flags.names.flatMap((each) => {
    const { text, fallback } = flags.describe(each);
    const flag = `--${settings.flagName(each)}`;
    return [`  ${flag.padEnd(24)} ${text}`, `  ${' '.repeat(24)} ${describeFallback(fallback)}`];
  });
  return [
    `${name}: ${summary}.`,
    '',
    `Usage: ${name} [settings] [--check] [--help] [--version]`,
    '',
    'Settings, as flags or in the environment (a flag takes precedence; --log-level is',
    'MEDLARWEIR_LOG_LEVEL there):',
    ...lines,
    '',
    '  --check              validates the settings and exits',
    '',
    signals,
    'Exit codes:',
    ...EXIT_CODES.map(({ code, meaning }) => `  ${code}  ${meaning}`),
  ].join('\n');
}

function describeFallback(fallback: settings.Description['fallback']): string {
  switch (fallback.kind) {
    case 'required':
      return 'must be given';
    case 'none':
      return 'optional';
    case 'value':
      return `default ${fallback.value}`;
    default:
      return results.assertNever(fallback);
  }
}
