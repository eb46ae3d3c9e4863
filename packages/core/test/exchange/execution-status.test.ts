import * as core from '@medlarweir/core';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('truth of "not run"');

const CASES: readonly { reach: core.messages.SendProgress; truth: core.results.ExecutionStatus }[] =
  [
    { reach: { kind: 'not-connected' }, truth: 'not-run' },
    { reach: { kind: 'vouched-not-run' }, truth: 'not-run' },
    { reach: { kind: 'sending' }, truth: 'unknown' },
    { reach: { kind: 'sent' }, truth: 'unknown' },
    { reach: { kind: 'responding' }, truth: 'unknown' },
  ];

CASES.forEach(({ reach, truth }) => {
  suite(`${reach.kind} is told as ${truth}`, () => {
    assert.is(core.exchange.executionStatusOf(reach), truth);
  });
});

suite.run();
