// Guards against more requests at a cold upstream than it has cold slots. It happens if the holder
// of the right ignores runs that earlier holders or its own abandoned requests left there, trusts a
// report that is older than those runs, or sends after the right expired.
import * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('sending rights of a lease holder');

const { rights } = core.load;
const GUARD_MS = rights.DELIVERY_MAX_MS + rights.REPORT_LAG_MAX_MS;
const HELD: core.messages.ColdStartRight = { kind: 'held', sinceMs: 0, untilMs: 10_000 };
const UPSTREAM = fixtures.anUpstream({ coldSlots: 2 });

function maySend(
  foreignRuns: core.load.rights.ForeignRuns,
  inFlight: number,
  atMs: number,
): boolean {
  return rights.maySend(foreignRuns, inFlight, UPSTREAM, fixtures.anInstant(atMs));
}

function aProvenHolder(reported = 0): core.load.rights.ForeignRuns {
  const held = rights.withRight(rights.noRight(), HELD);
  return rights.withReport(held, reported, fixtures.anInstant(GUARD_MS));
}

suite('a report that may predate the last send of the previous holder is not used', () => {
  const held = rights.withRight(rights.noRight(), HELD);
  const early = rights.withReport(held, 0, fixtures.anInstant(GUARD_MS - 1));
  assert.is(maySend(early, 0, GUARD_MS), false);
  assert.is(maySend(aProvenHolder(), 0, GUARD_MS), true);
});

const CASES = [
  { title: 'runs of other instances occupy their slots', reported: 1, inFlight: 1, may: false },
  {
    title: 'one slot is free beside one run of another instance',
    reported: 1,
    inFlight: 0,
    may: true,
  },
  { title: 'own runs occupy their slots', reported: 0, inFlight: 2, may: false },
  { title: 'runs of other instances occupy all slots', reported: 2, inFlight: 0, may: false },
] as const;

CASES.forEach(({ title, reported, inFlight, may }) => {
  suite(title, () => assert.is(maySend(aProvenHolder(reported), inFlight, GUARD_MS), may));
});

suite('a right expires by the clock, without any message', () => {
  assert.is(maySend(aProvenHolder(), 0, HELD.untilMs - 1), true);
  assert.is(maySend(aProvenHolder(), 0, HELD.untilMs), false);
});

suite('a renewed right keeps the known bound; a newly gained one does not', () => {
  const renewed = rights.withRight(aProvenHolder(), { ...HELD, untilMs: 20_000 });
  assert.is(maySend(renewed, 0, 15_000), true);
  const regained = rights.withRight(aProvenHolder(), {
    kind: 'held',
    sinceMs: 12_000,
    untilMs: 20_000,
  });
  assert.is(maySend(regained, 0, 15_000), false);
});

suite('an abandoned run keeps its slot until a report that is later', () => {
  const abandoned = rights.withAbandoned(aProvenHolder(1), fixtures.anInstant(5_000));
  assert.is(maySend(abandoned, 0, 5_000), false);
  const early = rights.withReport(abandoned, 0, fixtures.anInstant(5_000 + GUARD_MS - 1));
  assert.is(maySend(early, 0, 9_000), false);
  const later = rights.withReport(abandoned, 0, fixtures.anInstant(5_000 + GUARD_MS));
  assert.is(maySend(later, 0, 9_000), true);
});

suite.run();
