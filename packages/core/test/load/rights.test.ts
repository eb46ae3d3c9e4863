import * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('what the holder of a right may send');

const { rights } = core.load;
const GUARD_MS = rights.DELIVERY_MAX_MS + rights.REPORT_LAG_MAX_MS;
const HELD: core.messages.ColdStartRight = { kind: 'held', sinceMs: 0, untilMs: 10_000 };
const UPSTREAM = fixtures.anUpstream({ coldSlots: 2 });

function mayUse(strangers: core.load.rights.ForeignRuns, inFlight: number, atMs: number): boolean {
  return rights.maySend(strangers, inFlight, UPSTREAM, fixtures.anInstant(atMs));
}

function aProvenHolder(reported = 0): core.load.rights.ForeignRuns {
  const held = rights.withRight(rights.noRight(), HELD);
  return rights.withReport(held, reported, fixtures.anInstant(GUARD_MS));
}

suite('a report that may be older than the last send of the holder before proves nothing', () => {
  const held = rights.withRight(rights.noRight(), HELD);
  const early = rights.withReport(held, 0, fixtures.anInstant(GUARD_MS - 1));
  assert.is(mayUse(early, 0, GUARD_MS), false);
  assert.is(mayUse(aProvenHolder(), 0, GUARD_MS), true);
});

const CASES = [
  { title: 'runs left by others take their slots', reported: 1, inFlight: 1, may: false },
  { title: 'one slot is left beside one run of others', reported: 1, inFlight: 0, may: true },
  { title: 'own runs take their slots', reported: 0, inFlight: 2, may: false },
  { title: 'others use all', reported: 2, inFlight: 0, may: false },
] as const;

CASES.forEach(({ title, reported, inFlight, may }) => {
  suite(title, () => assert.is(mayUse(aProvenHolder(reported), inFlight, GUARD_MS), may));
});

suite('a right ends by the clock, without any message', () => {
  assert.is(mayUse(aProvenHolder(), 0, HELD.untilMs - 1), true);
  assert.is(mayUse(aProvenHolder(), 0, HELD.untilMs), false);
});

suite('a renewed right keeps what is known; a right taken anew does not', () => {
  const renewed = rights.withRight(aProvenHolder(), { ...HELD, untilMs: 20_000 });
  assert.is(mayUse(renewed, 0, 15_000), true);
  const anew = rights.withRight(aProvenHolder(), {
    kind: 'held',
    sinceMs: 12_000,
    untilMs: 20_000,
  });
  assert.is(mayUse(anew, 0, 15_000), false);
});

suite('a run that was given up here keeps its slot until a later report', () => {
  const givenUp = rights.withAbandoned(aProvenHolder(1), fixtures.anInstant(5_000));
  assert.is(mayUse(givenUp, 0, 5_000), false);
  const early = rights.withReport(givenUp, 0, fixtures.anInstant(5_000 + GUARD_MS - 1));
  assert.is(mayUse(early, 0, 9_000), false);
  const later = rights.withReport(givenUp, 0, fixtures.anInstant(5_000 + GUARD_MS));
  assert.is(mayUse(later, 0, 9_000), true);
});

suite.run();
