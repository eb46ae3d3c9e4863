/** Guards against an upstream that still receives requests after an operator has taken it out. */
import * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

import * as operators from './fixtures/operator.js';

const suite = uvu.suite('upstream presence: taken out and put back by operators');

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

suite('upstream out and upstream in each create a configuration generation', () =>
  withOperator(async (operator) => {
    const name = 'engine-9';
    const out = await operator.run(['upstream', 'out', name]);
    assert.match(out.stdout, 'generation 2 is accepted');
    const back = await operator.run(['upstream', 'in', name]);
    assert.match(back.stdout, 'generation 3 is accepted');
  }),
);

suite('an unknown upstream name fails with an error that names it', () =>
  withOperator(async (operator) => {
    const { code, stderr } = await operator.run(['upstream', 'out', 'no-such-engine']);
    assert.is(code === 0, false);
    assert.match(stderr, 'found "no-such-engine"');
  }),
);

/** Returns the routing decision for a new prompt when the only engine, warm and idle, has this presence. */
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

suite('an upstream that is out receives no new request, even if it is the only candidate', () => {
  assert.is(planWith('in'), 'placed');
  assert.is(planWith('out'), 'refused');
});

suite.run();
