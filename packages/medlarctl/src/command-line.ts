/**
 * Parses the command line of `medlarctl`, with the flags that all commands share, and renders its
 * help text.
 */
import * as util from 'node:util';

import * as core from '@medlarweir/core';
import * as neverthrow from 'neverthrow';

import * as exitCodes from './exit-codes.js';
import * as registry from './registry.js';

export type Invocation =
  | { kind: 'help' }
  | { kind: 'version' }
  | {
      kind: 'run';
      command: registry.OperatorCommand;
      positionals: readonly string[];
      flags: registry.Flags;
      platform: string;
      isJson: boolean;
      isAssumedYes: boolean;
    };

const SHARED_FLAGS: NonNullable<util.ParseArgsConfig['options']> = {
  platform: { type: 'string' },
  'deployment-key': { type: 'string' },
  json: { type: 'boolean' },
  yes: { type: 'boolean', short: 'y' },
  help: { type: 'boolean', short: 'h' },
  version: { type: 'boolean', short: 'v' },
};

type Parsed = { values: registry.Flags; positionals: readonly string[] };

const parseArgs = neverthrow.Result.fromThrowable(
  (argv: readonly string[]): Parsed => {
    const commandFlags = registry.list().flatMap(({ flags = {} }) => Object.entries(flags));
    const options = { ...Object.fromEntries(commandFlags), ...SHARED_FLAGS };
    const { values, positionals } = util.parseArgs({
      args: [...argv],
      allowPositionals: true,
      options,
    });
    return { values: values as registry.Flags, positionals };
  },
  (error) => core.results.failure('wrongUse', (error as Error).message),
);

/** Placeholder address for commands that do not connect to the platform. */
const UNUSED_PLATFORM_ADDRESS = '127.0.0.1:1';

type Environment = Readonly<Record<string, string | undefined>>;

export function parse(
  argv: readonly string[],
  environment: Environment,
): neverthrow.Result<Invocation, core.results.Failure> {
  return parseArgs(argv).andThen((parsed) => toInvocation(parsed, environment));
}

function toInvocation(
  { values, positionals }: Parsed,
  environment: Environment,
): neverthrow.Result<Invocation, core.results.Failure> {
  const [name, ...rest] = positionals;
  if (values.version === true) return neverthrow.ok({ kind: 'version' });
  if (values.help === true || name === undefined) return neverthrow.ok({ kind: 'help' });
  const command = registry.find(name);
  if (!command) return neverthrow.err(core.results.failure('unknownCommand', name));
  const given = values.platform ?? environment.MEDLARWEIR_PLATFORM;
  const platform = command.requires === 'files' ? UNUSED_PLATFORM_ADDRESS : given;
  if (typeof platform !== 'string') {
    const detail = '--platform (MEDLARWEIR_PLATFORM): expected HOST:PORT; found nothing';
    return neverthrow.err(core.results.failure('wrongUse', detail));
  }
  const key = values['deployment-key'] ?? environment.MEDLARWEIR_DEPLOYMENT_KEY;
  return neverthrow.ok({
    kind: 'run',
    command,
    positionals: rest,
    flags: { ...values, 'deployment-key': key },
    platform,
    isJson: values.json === true,
    isAssumedYes: values.yes === true,
  });
}

export function helpText(): string {
  const lines = registry
    .list()
    .map(({ name, usage, summary }) => `  ${`${name} ${usage}`.trim().padEnd(38)} ${summary}`);
  return [
    'medlarctl: operates a medlarweir deployment.',
    '',
    'Usage: medlarctl COMMAND --platform HOST:PORT [--json] [--yes]',
    '',
    ...lines,
    '',
    '  --platform HOST:PORT      the platform’s service (MEDLARWEIR_PLATFORM)',
    '  --deployment-key KEY      needed to ask instances (MEDLARWEIR_DEPLOYMENT_KEY)',
    '  --json                    prints one JSON object',
    '  --yes, -y                 does not ask before a change',
    '  --help, -h; --version, -v',
    '',
    'Exit codes:',
    ...exitCodes.ALL.map(({ code, meaning }) => `  ${code}  ${meaning}`),
  ].join('\n');
}
