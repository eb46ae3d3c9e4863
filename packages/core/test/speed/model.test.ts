/**
 * Guards against predictions that depend on one deployment's engines, that one odd answer or a false
 * report distorts, or that keep a slow spell for longer than it lasts.
 */
import * as fixtures from '@medlarweir/core/fixtures';
import * as fc from 'fast-check';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('speed: model');

const LONG_TOKENS = 12_000;
const SHORT_TOKENS = 2_400;

function isNear(actual: number, expected: number, share: number): void {
  const text = `${actual} is not within ${share} of ${expected}`;
  assert.ok(Math.abs(actual - expected) <= expected * share, text);
}

suite('the first answers set the rate, whatever engines the deployment has', () => {
  [0.1, 1, 20].forEach((factor) => {
    const service = fixtures.aServiceModel();
    const upstream = fixtures.anUpstreamModel();
    [0, 1, 2].forEach((at) =>
      fixtures.recordPrompt(service, upstream, { tokens: LONG_TOKENS, factor, atMs: at * 100 }),
    );
    const { constantMs, msPerToken } = service.fit.coefficients;
    const tookMs =
      fixtures.TRUE_SPEED.constantMs + fixtures.TRUE_SPEED.msPerToken * LONG_TOKENS * factor;
    isNear(constantMs + msPerToken * LONG_TOKENS, tookMs, 0.1);
  });
});

suite('the constant part and the rate are told apart, with a twentieth of odd answers', () => {
  const service = fixtures.aServiceModel();
  const upstream = fixtures.anUpstreamModel();
  for (let at = 0; at < 300; at += 1) {
    const tokens = at % 3 === 0 ? LONG_TOKENS : SHORT_TOKENS;
    const factor = at % 20 === 7 ? 30 : 1;
    fixtures.recordPrompt(service, upstream, { tokens, factor, atMs: at * 100 });
  }
  const { constantMs, msPerToken } = service.fit.coefficients;
  isNear(msPerToken, fixtures.TRUE_SPEED.msPerToken, 0.2);
  isNear(constantMs + msPerToken * SHORT_TOKENS, 56, 0.25);
});

suite('a constant difference of an upstream is learned within tens of answers', () => {
  const service = fixtures.aServiceModel();
  const upstreams = Array.from({ length: 6 }, () => fixtures.anUpstreamModel());
  for (let at = 0; at < 240; at += 1) {
    const upstream = upstreams[at % 6] ?? fixtures.anUpstreamModel();
    const tokens = at % 5 === 0 ? LONG_TOKENS : SHORT_TOKENS;
    const factor = at % 6 === 0 ? 1.5 : 1;
    fixtures.recordPrompt(service, upstream, { tokens, factor, atMs: at * 400 });
  }
  const atMs = 240 * 400 + 5_000;
  const [slow, usual] = upstreams.map((each) => fixtures.factorOf(service, each, atMs));
  isNear((slow ?? 0) / (usual ?? 1), 1.5, 0.15);
});

suite('a slow answer counts at once and is forgotten within a second', () => {
  const upstream = fixtures.anUpstreamModel();
  const service = fixtures.aLearnedServiceModel(upstream);
  const atMs = 60_000;
  fixtures.recordPrompt(service, upstream, { tokens: LONG_TOKENS, factor: 2.5, atMs });
  const [now = 0, later = 0] = [atMs, atMs + 1_000].map((each) =>
    fixtures.factorOf(service, upstream, each),
  );
  assert.ok(now > 1.2, String(now));
  assert.ok(later < 1.1, String(later));
});

suite('a reported slowdown that answers confirm counts before the next answer', () => {
  const upstream = fixtures.anUpstreamModel();
  const service = fixtures.aLearnedServiceModel(upstream);
  for (let at = 0; at < 60; at += 1) {
    const atMs = 60_000 + at * 1_000;
    const factor = at % 4 === 0 ? 2.5 : 1;
    fixtures.recordReport(upstream, factor, atMs);
    fixtures.recordPrompt(service, upstream, { tokens: LONG_TOKENS, factor, atMs });
  }
  const other = fixtures.anUpstreamModel();
  const before = fixtures.factorOf(service, other, 121_000);
  fixtures.recordReport(other, 2.5, 121_000);
  const ratio = fixtures.factorOf(service, other, 121_000) / before;
  assert.ok(ratio > 1.8 && ratio <= 2.5, String(ratio));
});

/** A report of 100 times the usual time from one upstream must not take it out of use. */
suite('a false or frozen slowdown counts no more than answers have shown', () => {
  const shown = fc.record({
    reported: fc.double({ min: 0.01, max: 100, noNaN: true }),
    actual: fc.double({ min: 1, max: 2.5, noNaN: true }),
    answers: fc.integer({ min: 0, max: 60 }),
  });
  const property = fc.property(shown, ({ reported, actual, answers }) => {
    const honest = fixtures.anUpstreamModel();
    const service = fixtures.aLearnedServiceModel(honest);
    const liar = fixtures.anUpstreamModel();
    for (let at = 0; at < answers; at += 1) {
      const atMs = 60_000 + at * 1_000;
      const factor = at % 5 === 0 ? actual : 1;
      fixtures.recordReport(honest, factor, atMs);
      fixtures.recordPrompt(service, honest, { tokens: LONG_TOKENS, factor, atMs });
      fixtures.recordReport(liar, reported, atMs);
      fixtures.recordPrompt(service, liar, { tokens: SHORT_TOKENS, atMs });
    }
    const atMs = 60_000 + answers * 1_000;
    fixtures.recordReport(liar, reported, atMs);
    const factor = fixtures.factorOf(service, liar, atMs);
    assert.ok(factor <= actual * 1.1, `counts as ${factor}`);
    assert.ok(factor >= 1 / (actual * 1.1), `counts as ${factor}`);
    // Many answers without any slowness refute the report altogether.
    if (answers > 40) assert.ok(factor < 1.35, `still counts as ${factor}`);
  });
  fc.assert(property, { seed: 20_261_206, numRuns: 200 });
});

suite.run();
