import * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
import * as fastCheck from 'fast-check';
import * as medlarctl from 'medlarctl';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('questionnaire at the terminal');

type Dialogue = { state: medlarctl.flow.State; asked: string[]; explained: string[]; end: unknown };

/** Feeds the lines one by one and records the questions, the explanations and the final answers. */
function aDialogue(
  lines: readonly string[],
  current: core.configuration.Configuration | undefined = undefined,
): Dialogue {
  const { flow } = medlarctl;
  const dialogue: Dialogue = {
    state: flow.initial(current),
    asked: [],
    explained: [],
    end: undefined,
  };
  const messages = [{ kind: 'begin' as const }, ...lines.map(aLine)];
  messages.forEach((message) => {
    const step = flow.decide(dialogue.state, message);
    dialogue.state = step.state;
    step.commands.forEach((command) => recordCommand(dialogue, command));
  });
  return dialogue;
}

function aLine(line: string) {
  return { kind: 'line' as const, line };
}

function recordCommand(dialogue: Dialogue, command: medlarctl.flow.Command): void {
  switch (command.kind) {
    case 'ask':
      dialogue.asked.push(command.text);
      return;
    case 'explain':
      dialogue.explained.push(command.failure.detail);
      return;
    case 'finish':
      Object.assign(dialogue, { end: command.answers });
      return;
    default:
      core.results.assertNever(command);
  }
}

const TEAM = ['surveyors', 'region-1', 'dc-1, dc-2'];
const ACCOUNT = ['gamma', '2', 'no'];
const SERVICES = ['', 'survey', 'survey-model', '', 'v1', '', '', 'yes', 'plain', 'ledger', '', ''];
const UPSTREAM = ['', 'engine-9', '127.0.0.1:7009', 'dc-1', 'survey', '', '', '', 'yes', ''];
const STORE = [
  'yes',
  'store-9',
  '127.0.0.1:7109',
  'dc-1',
  '64000000000',
  '512000000000',
  '1000',
  '',
];
const LIMITS = ['', ''];
const WHOLE = [...TEAM, ...ACCOUNT, ...SERVICES, ...UPSTREAM, ...STORE, ...LIMITS];

suite('a full dialogue gives answers from which a configuration is generated', () => {
  const { end, explained } = aDialogue(WHOLE);
  assert.equal(explained, []);
  const answers = fixtures.unwrapValue(medlarctl.answers.parse(end));
  const { configuration } = fixtures.unwrapValue(medlarctl.generator.generate(answers, undefined));
  assert.equal(
    configuration.services.map(({ kind, name }) => [kind, name]),
    [
      ['model', 'survey'],
      ['plain', 'ledger'],
    ],
  );
  assert.is(configuration.upstreams[0]?.checksFencing, true);
  assert.is(configuration.stores[0]?.linkBytesPerS, 1_000);
});

suite('a plain service is not asked about a model', () => {
  const { asked } = aDialogue([...TEAM, ...ACCOUNT, 'plain', 'ledger']);
  assert.match(asked.at(-1) ?? '', 'priority');
});

const FAULTS: readonly {
  fault: string;
  before: readonly string[];
  line: string;
  expected: string;
}[] = [
  {
    fault: 'a name with capitals',
    before: [],
    line: 'Surveyors',
    expected: 'team: expected lower-case letters, digits, -; found "Surveyors"',
  },
  {
    fault: 'no answer',
    before: [],
    line: ' ',
    expected: 'team: expected an answer; found nothing',
  },
  {
    fault: 'a text instead of a number',
    before: [...TEAM, 'gamma'],
    line: 'a lot',
    expected: 'share: expected a number; found "a lot"',
  },
  {
    fault: 'a name that was answered before',
    before: [...TEAM, 'gamma', '', 'yes'],
    line: 'gamma',
    expected: 'name: expected a name that was not answered before; found "gamma"',
  },
  {
    fault: 'neither yes nor no',
    before: [...TEAM, 'gamma', ''],
    line: 'perhaps',
    expected: 'expected yes or no; found "perhaps"',
  },
  {
    fault: 'an address without a port',
    before: [...TEAM, ...ACCOUNT, ...SERVICES, '', 'engine-9'],
    line: 'nowhere',
    expected: 'address: expected HOST:PORT; found "nowhere"',
  },
  {
    fault: 'an unknown data centre',
    before: [...TEAM, ...ACCOUNT, ...SERVICES, '', 'engine-9', 'h:1'],
    line: 'dc-9',
    expected: 'dataCentre: expected names among dc-1, dc-2; found "dc-9"',
  },
];

FAULTS.forEach(({ fault, before, line, expected }) => {
  suite(`${fault} is explained at once and the question asked again`, () => {
    const asked = aDialogue(before).asked.at(-1);
    const dialogue = aDialogue([...before, line]);
    assert.is(dialogue.explained.at(-1), expected);
    assert.is(dialogue.asked.at(-1), asked);
  });
});

suite('an answer may refer to a name that is already configured', () => {
  const before = [...TEAM, ...ACCOUNT, ...SERVICES, '', 'engine-9', '127.0.0.1:7009', 'dc-1'];
  const { explained } = aDialogue([...before, 'briefing'], fixtures.aConfiguration());
  assert.equal(explained, []);
});

suite('arbitrary lines lead to a question or to answers and throw no error', () => {
  const line = fastCheck.oneof(
    fastCheck.string(),
    fastCheck.constantFrom('', 'yes', 'no', ...WHOLE),
  );
  fastCheck.assert(
    fastCheck.property(fastCheck.array(line, { maxLength: 60 }), (lines) => {
      const { state, asked } = aDialogue(lines);
      assert.ok(asked.length > 0 || state.position.kind === 'finished');
    }),
    fixtures.seeded(),
  );
});

suite.run();
