/** Guards against counted crashes that are forgotten when all instances are killed. */
import * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('quarantine: recorded crashes');

type Write = Extract<core.fleet.Command, { kind: 'store-crashes' }>;

function writesOf(commands: readonly core.fleet.Command[]): readonly Write[] {
  return commands.flatMap((each) => (each.kind === 'store-crashes' ? [each] : []));
}

function answer(
  fleet: fixtures.QuarantineFleet,
  outcome: core.quarantine.WriteOutcome,
  atMs: number,
) {
  fleet.send({ type: 'fleet.crashes-stored', outcome }, atMs);
}

function tick(fleet: fixtures.QuarantineFleet, atMs: number): readonly Write[] {
  return writesOf(fleet.send({ type: 'fleet.tick' }, atMs));
}

function aCrash(
  changed: Partial<core.quarantine.RecordedCrash> = {},
): core.quarantine.RecordedCrash {
  const { ageMs, ...suspect } = fixtures.aSuspect();
  return { ...suspect, crashedAtMs: fixtures.anInstant(-1_000 - ageMs).wallMs, ...changed };
}

/** The crashes of requests `r-1`, `r-2` and so on, each of another upstream, a second apart. */
function crashesOf(count: number): readonly core.quarantine.RecordedCrash[] {
  return Array.from({ length: count }, (_, at) =>
    aCrash({
      crash: `u-${at + 1}@1`,
      requestId: `r-${at + 1}`,
      crashedAtMs: fixtures.anInstant(-1_000 * (at + 1)).wallMs,
    }),
  );
}

function restore(
  fleet: fixtures.QuarantineFleet,
  crashes: readonly core.quarantine.RecordedCrash[],
  instance = 'instance-2',
) {
  const records = [{ instance, version: 4, crashes }];
  return fleet.send({ type: 'fleet.crashes-read', records }, 0);
}

function place(fleet: fixtures.QuarantineFleet, requestId: string, atMs: number): string {
  return fleet.look({ requestId, parts: ['deadly'] }, atMs);
}

suite('a counted crash is written at once, and the next one with the new version', () => {
  const fleet = fixtures.aQuarantineFleet();
  const [first] = writesOf(fleet.crash({ requestId: 'a', parts: ['deadly'] }, 1_000));
  assert.is(first?.expectedVersion, 0);
  assert.equal(
    first?.crashes.map(({ requestId, parts }) => [requestId, parts]),
    [['a', ['deadly', 'request-content-of-a']]],
  );
  answer(fleet, { kind: 'written', version: 7 }, 1_020);
  const [second] = writesOf(fleet.crash({ requestId: 'b', parts: ['deadly'] }, 2_000));
  assert.is(second?.expectedVersion, 7);
  assert.is(second?.crashes.length, 2);
});

suite('crashes that are found during a write are written together after it', () => {
  const fleet = fixtures.aQuarantineFleet();
  fleet.crash({ requestId: 'a', parts: ['p'] }, 1_000);
  assert.equal(writesOf(fleet.crash({ requestId: 'b', parts: ['q'] }, 1_300)), []);
  assert.equal(writesOf(fleet.crash({ requestId: 'c', parts: ['r'] }, 1_600)), []);
  answer(fleet, { kind: 'written', version: 1 }, 1_700);
  assert.equal(
    tick(fleet, 1_710).map(({ crashes }) => crashes.length),
    [3],
  );
});

suite('the second crash of one request is not written', () => {
  const fleet = fixtures.aQuarantineFleet();
  fleet.crash({ requestId: 'a', parts: ['p'] }, 1_000);
  answer(fleet, { kind: 'written', version: 1 }, 1_020);
  const again = { requestId: 'a', parts: ['p'], isRepeat: true };
  assert.equal(writesOf(fleet.crash(again, 2_000)), []);
});

suite(
  'a refused write is sent again with the version of the object, a lost one after a while',
  () => {
    const fleet = fixtures.aQuarantineFleet();
    fleet.crash({ requestId: 'a', parts: ['p'] }, 1_000);
    answer(fleet, { kind: 'conflict', version: 3 }, 1_020);
    assert.equal(
      tick(fleet, 1_500).map(({ expectedVersion }) => expectedVersion),
      [3],
    );
    answer(fleet, { kind: 'lost' }, 1_600);
    assert.equal(tick(fleet, 2_000), []);
    assert.is(tick(fleet, 2_600).length, 1);
  },
);

/** Guards against a sound part that is condemned by crashes from before its success. */
suite('a part that got through leaves the record', () => {
  const fleet = fixtures.aQuarantineFleet();
  fleet.crash({ requestId: 'a', parts: ['p', 'q'] }, 1_000);
  answer(fleet, { kind: 'written', version: 1 }, 1_020);
  fleet.succeed({ requestId: 'b', parts: ['p'] }, 2_000);
  assert.equal(tick(fleet, 2_500), []);
  const [write] = tick(fleet, 7_600);
  assert.equal(
    write?.crashes.map(({ parts }) => parts),
    [['q', 'request-content-of-a']],
  );
});

suite('crashes from before the start count with those after it', () => {
  const fleet = fixtures.aQuarantineFleet();
  restore(fleet, crashesOf(2));
  assert.match(place(fleet, 'r-3', 1_000), /^u-/);
  fleet.crash({ requestId: 'r-3', parts: ['deadly'] }, 1_100);
  assert.is(place(fleet, 'r-4', 2_000), 'quarantined');
});

suite('three recorded crashes condemn the part, also if its verdict was not written', () => {
  const fleet = fixtures.aQuarantineFleet();
  restore(fleet, crashesOf(3));
  assert.is(place(fleet, 'r-4', 1_000), 'quarantined');
});

suite('an instance goes on with its own record', () => {
  const fleet = fixtures.aQuarantineFleet('instance-1');
  restore(fleet, crashesOf(1), 'instance-1');
  const [write] = writesOf(fleet.crash({ requestId: 'new', parts: ['deadly'] }, 1_000));
  assert.is(write?.expectedVersion, 4);
  assert.is(write?.crashes.length, 2);
});

/** Guards against clocks that differ between the instances that found one crash. */
suite('one crash counts once, whatever times its records name', () => {
  const fleet = fixtures.aQuarantineFleet();
  const crashedAtMs = [-1_000, -9_000, -20_000].map((atMs) => fixtures.anInstant(atMs).wallMs);
  restore(
    fleet,
    crashedAtMs.map((atMs, at) => aCrash({ requestId: `r-${at}`, crashedAtMs: atMs })),
  );
  assert.match(place(fleet, 'later', 1_000), /^u-/);
});

suite('crashes of more than ten minutes ago do not count', () => {
  const fleet = fixtures.aQuarantineFleet();
  const crashedAtMs = fixtures.anInstant(-601_000).wallMs;
  restore(
    fleet,
    crashesOf(3).map((each) => ({ ...each, crashedAtMs })),
  );
  assert.is(fleet.state.quarantine.tallies.size, 0);
});

suite.run();
