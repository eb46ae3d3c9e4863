import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

import * as play from '../src/play.js';

const SEED = 20_261_206;
const SIZE = { instances: 2, upstreams: 3, callers: 24, durationMs: 45_000 };

const suite = uvu.suite('soak');

/**
 * Guards against requests that run although their connection was answered with a promise or reset unread,
 * and against a second run: instances, upstreams and the store are frozen, stopped, killed and changed.
 */
suite('a request runs once at most, and never behind a promise', async () => {
  const { outcomes, violations } = await play.play(SEED, SIZE);
  assert.ok(outcomes.some(({ end }) => end.kind === 'answered' && end.status === 200));
  assert.equal(violations, []);
});

suite.run();
