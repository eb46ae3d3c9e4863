import * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

import * as operators from './fixtures/operator.js';

const suite = uvu.suite('an upstream that operators take out, and back');

async function withOperator(act: (operator: operators.Operator) => Promise<void>): Promise<void> {
  const operator = await operators.anOperator();
  try {
    const file = await operator.writeJsonFile('answers.json', fixtures.aCompletedQuestionnaire());
    await operator.run(['questionnaire', '--answers', file, '--yes']);
    await act(operator);
  } finally {
    await operator.end();
  }
}

suite('out and in are accepted as generations of the configuration', () =>
  withOperator(async (operator) => {
    const name = 'engine-9';
    const out = await operator.run(['upstream', 'out', name]);
    assert.match(out.stdout, 'generation 2 is accepted');
    const back = await operator.run(['upstream', 'in', name]);
    assert.match(back.stdout, 'generation 3 is accepted');
  }),
);

suite('an unknown name changes nothing', () =>
  withOperator(async (operator) => {
    const { code, stderr } = await operator.run(['upstream', 'out', 'no-such-engine']);
    assert.is(code === 0, false);
    assert.match(stderr, 'found "no-such-engine"');
  }),
);

/** What becomes of a new prompt when the only engine, warm and idle, has this presence. */
function planWith(presence: core.configuration.Presence): string | undefined {
  const upstream = fixtures.anUpstream({ presence });
  const messages: readonly core.messages.RoutingMessage[] = [
    {
      type: 'configuration.adopted',
      configuration: fixtures.aConfiguration({ upstreams: [upstream] }),
    },
    {
      type: 'engine.reported',
      upstream: upstream.name,
      report: {
        kind: 'load',
        running: 0,
        waiting: 0,
        temperature: 'warm',
        weightVersion: 'v1',
      },
    },
  ];
  const now = fixtures.anInstant();
  const state = messages.reduce(
    (before, message) => core.routing.decide(before, message, now).state,
    core.routing.initial('instance-1', 'dc-1'),
  );
  const replyTo = fixtures.aMailbox<core.messages.PlacementDecided>();
  const service = 'briefing';
  const { commands } = core.routing.decide(
    state,
    { type: 'routing.place-call', requestId: 'r', service, excluded: [], replyTo },
    now,
  );
  const [reply] = commands;
  return reply?.kind === 'reply' ? reply.message.decision.kind : undefined;
}

suite('what is out gets nothing new, also when it is the only one', () => {
  assert.is(planWith('in'), 'placed');
  assert.is(planWith('out'), 'refused');
});

suite.run();
