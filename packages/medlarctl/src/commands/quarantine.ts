/** `medlarctl quarantine`: shows which parts of prompts are kept from upstreams, and lifts verdicts. */
import * as core from '@medlarweir/core';
import * as neverthrow from 'neverthrow';

import * as confirmation from '../confirmation.js';
import * as registry from '../registry.js';
import * as table from '../table.js';

registry.register({
  name: 'quarantine',
  usage: 'list | lift MODEL PART',
  summary: 'shows the requests and prompt parts kept from upstreams, or lets one in again',
  run: quarantine,
});

type StoredVerdict = core.quarantine.StoredVerdict;

function isInForce({ verdict }: StoredVerdict): boolean {
  return !core.quarantine.storing.isLifted(verdict);
}

async function quarantine(input: registry.Input): registry.Outcome {
  const [action, model, part] = input.positionals;
  if (action === 'list') return list(input);
  if (action === 'lift' && model !== undefined && part !== undefined) {
    return lift(input, model, part);
  }
  return fail('wrongUse', 'expected `list` or `lift MODEL PART`');
}

async function list({ platform }: registry.Input): registry.Outcome {
  const found = await platform.verdicts();
  return found.map((verdicts) => {
    const inForce = verdicts.filter(isInForce);
    return {
      text: table.render(toTable(inForce)),
      data: inForce.map(({ verdict }) => verdict),
    };
  });
}

/** The verdict may have changed since it was shown; it is removed all the same, with the new evidence. */
async function lift(input: registry.Input, model: string, part: string): registry.Outcome {
  const { platform, printLine, ask, isAssumedYes } = input;
  const found = await platform.verdicts();
  if (found.isErr()) return neverthrow.err(found.error);
  const shown = found.value
    .filter(isInForce)
    .find(({ verdict }) => verdict.model === model && verdict.part === part);
  if (!shown) return fail('invalidInput', `part "${part}" of "${model}" is not in quarantine`);
  printLine(table.render(toTable([shown])));
  const decision = isAssumedYes
    ? neverthrow.ok('agreed' as const)
    : confirmation.parseReply(await ask('Send prompts with this part again (yes, no) [no]: '));
  if (decision.isErr()) return neverthrow.err(decision.error);
  const removed = await platform.removeVerdict(shown.name);
  return removed.map((outcome) => ({
    text: describeRemoval(outcome, model, part),
    data: { model, part, outcome },
  }));
}

function describeRemoval(outcome: 'removed' | 'missing', model: string, part: string): string {
  switch (outcome) {
    case 'removed':
      return `the quarantine of part ${part} of ${model} is lifted`;
    case 'missing':
      return `the quarantine of part ${part} of ${model} had been lifted already`;
    default:
      return core.results.assertNever(outcome);
  }
}

function toTable(verdicts: readonly StoredVerdict[]): table.Table {
  return {
    title: 'parts in quarantine',
    header: [
      'model',
      'part',
      'only beside',
      'since',
      'trials',
      'client accounts',
      'crashed upstream (request)',
    ],
    rows: verdicts.map(({ verdict }) => [
      verdict.model,
      verdict.part,
      verdict.companions.join(', '),
      new Date(verdict.condemnedAtMs).toISOString(),
      String(verdict.trials),
      verdict.clientAccounts.map((name) => name || '(none)').join(', '),
      verdict.crashes.map(({ upstream, requestId }) => `${upstream} (${requestId})`).join(', '),
    ]),
  };
}

function fail(code: core.results.CodeName, detail: string) {
  return neverthrow.err(core.results.failure(code, `quarantine: ${detail}`));
}
