/**
 * Guards against telling a caller "not run" about a request that may have run, which happens when a
 * status of the upstream is taken for the gateway's own refusal.
 */
import * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('gateway: classification of attempt results');

type Row = readonly [string, core.gateway.attemptResult.Result, string];

const ROWS: readonly Row[] = [
  [
    'an unreachable upstream counts as not run',
    { kind: 'unsent', reason: 'unreachable', detail: '' },
    'not-run',
  ],
  [
    'no free connection counts as not run',
    { kind: 'unsent', reason: 'no-connection', detail: '' },
    'not-run',
  ],
  ['a confirmed rejection counts as not run', { kind: 'rejected', status: 503 }, 'not-run'],
  [
    'a lost connection leaves execution unknown',
    { kind: 'broken', reason: 'connection-lost', detail: '' },
    'unknown',
  ],
  [
    'a response to another request leaves execution unknown',
    { kind: 'broken', reason: 'foreign-answer', detail: '' },
    'unknown',
  ],
  ['200 with a response seal is delivered', fixtures.anAnsweredAttempt(200), 'deliver'],
  [
    '200 without a response seal leaves execution unknown',
    fixtures.anAnsweredAttempt(200, false),
    'unknown',
  ],
  ['400 from the upstream is delivered', fixtures.anAnsweredAttempt(400), 'deliver'],
  ['500 from the upstream counts as failed', fixtures.anAnsweredAttempt(500), 'failed'],
  ['504 from the upstream counts as failed', fixtures.anAnsweredAttempt(504), 'failed'],
  ['an unconfirmed 408 leaves execution unknown', fixtures.anAnsweredAttempt(408), 'unknown'],
  ['an unconfirmed 421 leaves execution unknown', fixtures.anAnsweredAttempt(421), 'unknown'],
  ['an unconfirmed 429 leaves execution unknown', fixtures.anAnsweredAttempt(429), 'unknown'],
  ['an unconfirmed 503 leaves execution unknown', fixtures.anAnsweredAttempt(503), 'unknown'],
];

ROWS.forEach(([name, result, expected]) => {
  suite(name, () => assert.is(core.gateway.attemptResult.classify(result).kind, expected));
});

suite.run();
