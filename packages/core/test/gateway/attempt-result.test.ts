import * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('gateway: what the end of an attempt says');

type Row = readonly [string, core.gateway.attemptResult.Result, string];

const ROWS: readonly Row[] = [
  ['nothing was sent', { kind: 'unsent', reason: 'unreachable', detail: '' }, 'not-run'],
  ['no connection was free', { kind: 'unsent', reason: 'no-connection', detail: '' }, 'not-run'],
  ['the upstream vouches', { kind: 'rejected', status: 503 }, 'not-run'],
  ['the connection broke', { kind: 'broken', reason: 'connection-lost', detail: '' }, 'unknown'],
  ['another answer came', { kind: 'broken', reason: 'foreign-answer', detail: '' }, 'unknown'],
  ['200 with a seal', fixtures.anAnsweredAttempt(200), 'deliver'],
  ['200 without a seal', fixtures.anAnsweredAttempt(200, false), 'unknown'],
  ['400 of the upstream', fixtures.anAnsweredAttempt(400), 'deliver'],
  ['500 of the upstream', fixtures.anAnsweredAttempt(500), 'failed'],
  ['504 of the upstream', fixtures.anAnsweredAttempt(504), 'failed'],
  ['408 that nobody vouches for', fixtures.anAnsweredAttempt(408), 'unknown'],
  ['421 that nobody vouches for', fixtures.anAnsweredAttempt(421), 'unknown'],
  ['429 that nobody vouches for', fixtures.anAnsweredAttempt(429), 'unknown'],
  ['503 that nobody vouches for', fixtures.anAnsweredAttempt(503), 'unknown'],
];

ROWS.forEach(([name, end, expected]) => {
  suite(name, () => assert.is(core.gateway.attemptResult.classify(end).kind, expected));
});

suite.run();
