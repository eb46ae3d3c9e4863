/**
 * Guards against reporting "not run" for a request whose bytes may have reached an upstream.
 */
import * as core from '@medlarweir/core';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('execution status of a request');

const CASES: readonly {
  progress: core.messages.SendProgress;
  truth: core.results.ExecutionStatus;
}[] = [
  { progress: { kind: 'not-connected' }, truth: 'not-run' },
  { progress: { kind: 'vouched-not-run' }, truth: 'not-run' },
  { progress: { kind: 'sending' }, truth: 'unknown' },
  { progress: { kind: 'sent' }, truth: 'unknown' },
  { progress: { kind: 'responding' }, truth: 'unknown' },
];

CASES.forEach(({ progress, truth }) => {
  suite(`${progress.kind} is reported as ${truth}`, () => {
    assert.is(core.exchange.executionStatusOf(progress), truth);
  });
});

suite.run();
