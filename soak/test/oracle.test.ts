import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

import type * as callers from '../src/callers.js';
import * as oracle from '../src/oracle.js';

const suite = uvu.suite('oracle of the soak');

function anOutcome(end: callers.Ending, id = 'a-0'): callers.Outcome {
  const work = { path: '/unsafe/', halvesMs: 0, delayMs: 0, deadlineMs: 600, pauseMs: 0 } as const;
  return { id, operation: 'a', work, beganAtMs: 0, endedAtMs: 1, end };
}

function countOf(outcomes: readonly callers.Outcome[], runs: Record<string, number>): number {
  return oracle.violationsOf(outcomes, new Map(Object.entries(runs))).length;
}

suite('finds what ran twice, behind a promise, or behind a reset', () => {
  const ok = anOutcome({ kind: 'answered', status: 200 });
  const refused = anOutcome({ kind: 'answered', status: 503 });
  assert.is(countOf([ok], { 'a-0': 1 }), 0);
  assert.is(countOf([refused], {}), 0);
  assert.ok(countOf([ok], { 'a-0': 2 }) > 0);
  assert.ok(countOf([ok], {}) > 0);
  assert.ok(countOf([refused], { 'a-0': 1 }) > 0);
  assert.ok(countOf([anOutcome({ kind: 'reset' })], { 'a-0': 1 }) > 0);
});

suite('finds an operation of which two attempts ran', () => {
  const outcomes = [
    anOutcome({ kind: 'left' }),
    anOutcome({ kind: 'answered', status: 200 }, 'a-1'),
  ];
  assert.is(countOf(outcomes, { 'a-1': 1 }), 0);
  assert.ok(countOf(outcomes, { 'a-0': 1, 'a-1': 1 }) > 0);
});

suite.run();
