/**
 * `medlarctl questionnaire`: generates a configuration from a new team’s answers and applies it.
 */
import * as core from '@medlarweir/core';
import * as neverthrow from 'neverthrow';

import * as change from '../change.js';
import * as confirmation from '../confirmation.js';
import * as files from '../files.js';
import * as answers from '../questionnaire/answers.js';
import * as flow from '../questionnaire/flow.js';
import * as generator from '../questionnaire/generator.js';
import * as registry from '../registry.js';

registry.register({
  name: 'questionnaire',
  usage: '[--answers FILE]',
  summary: 'asks a new team’s questions and puts the answers in force',
  flags: { answers: { type: 'string' } },
  run: questionnaire,
});

type ParsedAnswers = neverthrow.Result<answers.Answers, core.results.Failure>;

async function questionnaire(input: registry.Input): registry.Outcome {
  const { platform, flags } = input;
  const base = await change.readActive(platform);
  if (base.isErr()) return neverthrow.err(base.error);
  const { configuration: current } = base.value;
  const given = await (typeof flags.answers === 'string'
    ? readAnswersFile(flags.answers)
    : askAtTerminal(input, flow.initial(current)));
  const generated = given.andThen((found) => generator.generate(found, current));
  if (generated.isErr()) return neverthrow.err(generated.error);
  const { configuration, newCredentials } = generated.value;
  const confirmed = await confirmation.request(input, current, configuration);
  if (confirmed.isErr()) return neverthrow.err(confirmed.error);
  const applied = await change.apply(
    platform,
    base.value,
    configuration,
    change.attributionFrom(flags),
  );
  return applied.map((generation) => ({
    text: describe(generation, newCredentials),
    data: { generation, newCredentials },
  }));
}

async function readAnswersFile(file: string): Promise<ParsedAnswers> {
  return (await files.readJson(file)).andThen(answers.parse);
}

/** Executes the commands of the flow at the terminal until every question is answered. */
async function askAtTerminal(input: registry.Input, initial: flow.State): Promise<ParsedAnswers> {
  let step = flow.decide(initial, { kind: 'begin' });
  for (;;) {
    const { state, commands } = step;
    const reply = await executeCommands(input, commands);
    switch (reply.kind) {
      case 'line':
        step = flow.decide(state, reply);
        break;
      case 'answers':
        return answers.parse(reply.answers);
      case 'no-terminal': {
        const detail = 'there is no terminal to ask at; nothing was changed (see --answers FILE)';
        return neverthrow.err(core.results.failure('declined', detail));
      }
      default:
        return core.results.assertNever(reply);
    }
  }
}

type Reply =
  { kind: 'line'; line: string } | { kind: 'answers'; answers: unknown } | { kind: 'no-terminal' };

async function executeCommands(
  input: registry.Input,
  commands: readonly flow.Command[],
): Promise<Reply> {
  let reply: Reply = { kind: 'no-terminal' };
  for (const command of commands) {
    switch (command.kind) {
      case 'explain':
        input.printLine(core.results.describe(command.failure));
        break;
      case 'ask': {
        const line = await input.ask(command.text);
        reply = line === undefined ? { kind: 'no-terminal' } : { kind: 'line', line };
        break;
      }
      case 'finish':
        reply = { kind: 'answers', answers: command.answers };
        break;
      default:
        core.results.assertNever(command);
    }
  }
  return reply;
}

function describe(generation: number, credentials: Readonly<Record<string, string>>): string {
  const made = Object.entries(credentials).map(([name, credential]) => `  ${name}  ${credential}`);
  const accepted = `generation ${generation} is accepted`;
  if (made.length === 0) return accepted;
  return [accepted, 'new credentials, shown only now:', ...made].join('\n');
}
