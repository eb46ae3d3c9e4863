/** The command line of `medlarctl`. */
import * as util from 'node:util';

import * as core from '@medlarweir/core';
import * as neverthrow from 'neverthrow';

export type Options = { platform: string; isJson: boolean; isAssumedYes: boolean };

export type Command =
  | { kind: 'help' }
  | { kind: 'questionnaire'; answersFile: string | undefined; options: Options }
  | { kind: 'apply'; file: string; options: Options }
  | { kind: 'get'; options: Options }
  | { kind: 'data-centre'; presence: core.configuration.Presence; name: string; options: Options };

export const HELP = `medlarctl: operates a medlarweir deployment.

Usage: medlarctl COMMAND --platform HOST:PORT [--json] [--yes]

  questionnaire [--answers FILE]   asks a new team's questions and puts the answers in force
  apply FILE                       puts a whole configuration in force
  get                              shows the configuration in force
  data-centre out|in NAME          takes a data centre out of service, or back

  --platform HOST:PORT   the platform's service (MEDLARWEIR_PLATFORM)
  --json                 prints one JSON object
  --yes                  does not ask before a change

Exit codes: 0 done; 1 failed or declined; 2 wrong use.`;

type Parsed = { values: Record<string, string | boolean | undefined>; positionals: string[] };

const parseArgs = neverthrow.Result.fromThrowable(
  (argv: readonly string[]): Parsed =>
    util.parseArgs({
      args: [...argv],
      allowPositionals: true,
      options: {
        platform: { type: 'string' },
        answers: { type: 'string' },
        json: { type: 'boolean' },
        yes: { type: 'boolean' },
        help: { type: 'boolean', short: 'h' },
      },
    }),
  (error) => core.results.failure('invalidInput', (error as Error).message),
);

export function parse(
  argv: readonly string[],
  environment: Readonly<Record<string, string | undefined>>,
): neverthrow.Result<Command, core.results.Failure> {
  return parseArgs(argv).andThen(({ values, positionals }) => {
    const [word, ...rest] = positionals;
    if (values.help === true || word === undefined) return neverthrow.ok<Command>({ kind: 'help' });
    const platform = values.platform ?? environment.MEDLARWEIR_PLATFORM;
    if (typeof platform !== 'string') return fail('--platform: expected HOST:PORT; found nothing');
    const options: Options = {
      platform,
      isJson: values.json === true,
      isAssumedYes: values.yes === true,
    };
    return toCommand(word, rest, values, options);
  });
}

function toCommand(
  word: string,
  rest: readonly string[],
  values: Parsed['values'],
  options: Options,
): neverthrow.Result<Command, core.results.Failure> {
  const [first, second] = rest;
  switch (word) {
    case 'questionnaire': {
      const answersFile = typeof values.answers === 'string' ? values.answers : undefined;
      return neverthrow.ok({ kind: 'questionnaire', answersFile, options });
    }
    case 'apply':
      if (first === undefined) return fail('apply: expected FILE; found nothing');
      return neverthrow.ok({ kind: 'apply', file: first, options });
    case 'get':
      return neverthrow.ok({ kind: 'get', options });
    case 'data-centre':
      if ((first !== 'in' && first !== 'out') || second === undefined) {
        return fail('data-centre: expected `out NAME` or `in NAME`');
      }
      return neverthrow.ok({ kind: 'data-centre', presence: first, name: second, options });
    default:
      return neverthrow.err(core.results.failure('unknownCommand', word));
  }
}

function fail(detail: string) {
  return neverthrow.err(core.results.failure('invalidInput', detail));
}
