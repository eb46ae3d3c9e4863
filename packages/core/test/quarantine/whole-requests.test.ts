import * as fixtures from '@medlarweir/core/fixtures';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('quarantine: whole requests');

const CONTENT = 'deadly-content';

/** A call without a prompt, in an attempt of its own. */
function aCall(requestId: string, content = CONTENT) {
  return { requestId, parts: [], prompt: undefined, content };
}

function aFleetAfter(crashesAtMs: readonly number[]): fixtures.QuarantineFleet {
  const fleet = fixtures.aQuarantineFleet();
  crashesAtMs.forEach((atMs, at) => fleet.crash(aCall(`crash-${at}`), atMs));
  return fleet;
}

/** Guards against a call that crashes upstreams without an end, for it has no part to be named by. */
suite('a call without a prompt is refused after three crashes, and others are not', () => {
  const fleet = aFleetAfter([0, 1_000, 2_000]);
  assert.is(fleet.place(aCall('again'), 3_000), 'quarantined');
  assert.match(fleet.place(aCall('other', 'sound-content'), 3_000), /^u-/);
});

/** Guards against a prompt that crashes its upstream before the head of an answer. */
suite('a prompt with sound parts is refused after three crashes without a head', () => {
  const fleet = fixtures.aQuarantineFleet();
  fleet.succeed({ requestId: 'sound', parts: ['shared'] }, 0);
  ['a', 'b', 'c'].forEach((requestId, at) =>
    fleet.crash({ requestId, parts: ['shared'], content: CONTENT }, 1_000 * (at + 1)),
  );
  const again = { requestId: 'd', parts: ['shared'], content: CONTENT };
  assert.is(fleet.place(again, 5_000), 'quarantined');
  assert.match(fleet.place({ requestId: 'e', parts: ['shared'] }, 5_000), /^u-/);
});

/** Guards against a second upstream that each repeat of such a call takes along. */
suite('once counted, it is not sent to a second upstream, and one at a time', () => {
  const fleet = aFleetAfter([0]);
  assert.is(fleet.place({ ...aCall('again'), isRepeat: true }, 1_000), 'suspected');
  assert.match(fleet.place(aCall('second'), 1_000), /^u-/);
  assert.is(fleet.place(aCall('third'), 1_000), 'one-at-a-time');
});

suite('an answer clears it, an error too', () => {
  (['prompt-and-request', 'request'] as const).forEach((survived) => {
    const fleet = aFleetAfter([0, 1_000]);
    const upstream = fleet.place(aCall('sound'), 2_000);
    fleet.send({ type: 'fleet.attempt-begun', upstream, requestId: 'sound', survived }, 2_010);
    fleet.crash(aCall('third'), 3_000);
    assert.match(fleet.place(aCall('again'), 4_000), /^u-/);
  });
});

/** Guards against a sound call of which several are in flight as a data centre goes down. */
suite('upstreams that go down together count once', () => {
  const fleet = aFleetAfter([0, 10, 20]);
  assert.match(fleet.place(aCall('again'), 1_000), /^u-/);
});

suite.run();
