/** Guards against prompts that take one upstream after the other down, and against sound ones shut out for it. */
import * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('quarantine: verdicts');

function having(part: string, requestId = 'later', changed = {}) {
  return { requestId, parts: [part], ...changed };
}

function kinds(commands: readonly core.fleet.Command[]) {
  return commands.map(({ kind }) => kind);
}

suite('after three crashes, requests with the part are refused, and others are not', () => {
  const fleet = fixtures.aQuarantineFleet();
  const commands = fixtures.condemn(fleet);
  assert.is(kinds(commands).filter((kind) => kind === 'record-verdict').length, 1);
  assert.is(fleet.place(having('deadly'), 3_000), 'quarantined');
  assert.match(fleet.place(having('sound'), 3_000), /^u-/);
});

suite('the last part of a prompt does not count before the head of an answer', () => {
  const fleet = fixtures.aQuarantineFleet();
  [0, 1, 2, 3].forEach((at) =>
    fleet.crash({ requestId: 'same', parts: [], isRepeat: at > 0 }, 1_000 * at),
  );
  assert.equal(fixtures.countedParts(fleet), []);
});

/** Guards against a caller that repeats a request with sound shared parts, and takes upstreams down each time. */
suite('retries of one content are refused after three crashes with a head', () => {
  const fleet = fixtures.aQuarantineFleet();
  const deadly = (requestId: string) => ({ requestId, parts: ['sound'], ownPart: 'deadly' });
  fleet.succeed(having('sound', 'first'), 0);
  [0, 1, 2].forEach((at) => fleet.crash(deadly(`r-${at}`), 1_000 + at * 500, 'head'));
  assert.is(fleet.place(deadly('r-3'), 3_000), 'quarantined');
  assert.match(fleet.place(having('sound', 'other'), 3_000), /^u-/);
});

suite('a request with a part of its own alone is suspected too', () => {
  const fleet = fixtures.aQuarantineFleet();
  const deadly = (requestId: string) => ({ requestId, parts: [], ownPart: 'deadly' });
  [0, 1, 2].forEach((at) => fleet.crash(deadly(`r-${at}`), 1_000 + at * 500, 'head'));
  assert.is(fleet.place(deadly('r-3'), 3_000), 'quarantined');
});

suite('parts that got through within a minute are not suspected', () => {
  const fleet = fixtures.aQuarantineFleet();
  fleet.succeed({ requestId: 'first', parts: ['sound'] }, 0);
  fixtures.condemn(fleet, 'sound');
  assert.match(fleet.look(having('sound'), 3_000), /^u-/);
  fixtures.condemn(fleet, 'sound', {}, 61_000);
  assert.is(fleet.place(having('sound', 'last'), 64_000), 'quarantined');
});

suite('a success clears what was counted before', () => {
  const fleet = fixtures.aQuarantineFleet();
  fleet.crash({ requestId: 'a', parts: ['rare'] }, 0);
  fleet.crash({ requestId: 'b', parts: ['rare'] }, 500);
  fleet.succeed({ requestId: 'c', parts: ['rare'] }, 1_000);
  fleet.crash({ requestId: 'd', parts: ['rare'] }, 62_000);
  assert.match(fleet.place(having('rare'), 63_000), /^u-/);
});

/** Guards against a data centre that goes down with requests in it: its upstreams are one event. */
suite('crashes less than 250 ms apart count once', () => {
  const fleet = fixtures.aQuarantineFleet();
  [0, 100, 200].forEach((atMs) => fleet.crash({ requestId: `r-${atMs}`, parts: ['p'] }, atMs));
  assert.match(fleet.place(having('p'), 1_000), /^u-/);
});

/** Guards against pile-ups that crash one upstream after the other and are counted as one event. */
suite('crashes of upstreams that had begun to answer count however close they are', () => {
  const fleet = fixtures.aQuarantineFleet();
  [0, 100, 200].forEach((atMs) =>
    fleet.crash({ requestId: `r-${atMs}`, parts: ['p'] }, atMs, 'head'),
  );
  assert.is(fleet.place(having('p'), 1_000), 'quarantined');
});

suite('a request without a head counts only at a distance from crashes with one', () => {
  const fleet = fixtures.aQuarantineFleet();
  fleet.crash(having('p', 'r-1'), 0, 'head');
  fleet.crash(having('p', 'r-2'), 100);
  fleet.crash(having('p', 'r-3'), 200, 'head');
  assert.match(fleet.look(having('p', 'r-4'), 1_000), /^u-/);
  fleet.crash(having('p', 'r-5'), 1_000);
  assert.is(fleet.place(having('p', 'r-6'), 2_000), 'quarantined');
});

suite('a request whose head came counts once, and so does its crash', () => {
  const fleet = fixtures.aQuarantineFleet();
  [0, 100, 200, 300].forEach((atMs) => fleet.crash(having('p', 'same'), atMs, 'head'));
  const suspects = ['r-1', 'r-2', 'r-3'].map((requestId) =>
    fixtures.aSuspect({ requestId, parts: ['q'], hadHead: true }),
  );
  const update = fixtures.aQuarantineUpdate({ suspects });
  fleet.send({ type: 'fleet.quarantine-update', update }, 1_000);
  assert.match(fleet.place(having('p'), 1_100), /^u-/);
  assert.match(fleet.place(having('q'), 1_100), /^u-/);
});

/** Guards against a request that is unlucky three times and takes its own parts along. */
suite('one request counts once, however many upstreams go down with it', () => {
  const fleet = fixtures.aQuarantineFleet();
  [0, 1, 2, 3].forEach((at) =>
    fleet.crash({ requestId: 'same', parts: ['p'], isRepeat: at > 0 }, at * 1_000),
  );
  assert.match(fleet.place(having('p'), 5_000), /^u-/);
});

suite('several requests at one upstream count once when it goes down', () => {
  const fleet = fixtures.aQuarantineFleet();
  const suspects = [0, 300, 600].map((ageMs) =>
    fixtures.aSuspect({ requestId: `r-${ageMs}`, ageMs }),
  );
  const update = fixtures.aQuarantineUpdate({ suspects });
  fleet.send({ type: 'fleet.quarantine-update', update }, 1_000);
  assert.match(fleet.place(having('deadly'), 1_100), /^u-/);
});

suite('a verdict binds the client account of its crashes, and all from the second one on', () => {
  const fleet = fixtures.aQuarantineFleet();
  fixtures.condemn(fleet, 'deadly', { clientAccount: 'account-1' });
  const other = { clientAccount: 'account-2' };
  assert.is(fleet.place(having('deadly', 'r-1'), 3_000), 'quarantined');
  assert.match(fleet.look(having('deadly', 'r-2', other), 3_000), /^u-/);
  fleet.crash(having('deadly', 'r-3', other), 4_000);
  assert.is(fleet.place(having('deadly', 'r-4', other), 5_000), 'quarantined');
  assert.is(
    fleet.place(having('deadly', 'r-5', { clientAccount: 'account-3' }), 5_000),
    'quarantined',
  );
});

/** Guards against requests that pile up at the first upstream that is back, and crash it and those after it. */
suite('a counted part is in flight once until it gets through', () => {
  const fleet = fixtures.aQuarantineFleet();
  const rare = (requestId: string) => having('rare', requestId);
  fleet.crash(rare('r-1'), 0);
  const upstream = fleet.place(rare('r-2'), 1_000);
  assert.match(upstream, /^u-/);
  assert.is(fleet.place(rare('r-3'), 1_010), 'one-at-a-time');
  assert.match(fleet.place(having('other', 'r-4'), 1_010), /^u-/);
  fleet.begin('r-2', upstream, 1_100);
  assert.match(fleet.place(rare('r-5'), 1_110), /^u-/);
  assert.match(fleet.place(rare('r-6'), 1_120), /^u-/);
});

suite('the next request with a counted part is sent when the one before has ended', () => {
  const fleet = fixtures.aQuarantineFleet();
  fleet.crash(having('rare', 'r-1'), 0);
  const upstream = fleet.place(having('rare', 'r-2'), 1_000);
  fleet.end('r-2', upstream, 'rejected', 1_100);
  assert.match(fleet.place(having('rare', 'r-3'), 1_110), /^u-/);
});

suite('a part that was never counted is in flight any number of times', () => {
  const fleet = fixtures.aQuarantineFleet();
  ['r-1', 'r-2', 'r-3'].forEach((requestId) =>
    assert.match(fleet.place(having('new', requestId), 1_000), /^u-/),
  );
});

/** Guards against a request that takes the next upstream along when it is sent again. */
suite('a repeat with a part that was counted for another request is not placed', () => {
  const fleet = fixtures.aQuarantineFleet();
  fleet.crash({ requestId: 'a', parts: ['p'] }, 0);
  fleet.crash({ requestId: 'b', parts: ['p', 'other'] }, 500);
  assert.is(
    fleet.place({ requestId: 'b', parts: ['p', 'other'], isRepeat: true }, 600),
    'suspected',
  );
  assert.match(fleet.place({ requestId: 'c', parts: ['p'] }, 600), /^u-/);
});

suite('an innocent request that shared an upstream with a suspect is placed again', () => {
  const fleet = fixtures.aQuarantineFleet();
  fleet.succeed({ requestId: 'first', parts: ['shared'] }, 0);
  fleet.crash({ requestId: 'a', parts: ['shared', 'deadly'] }, 1_000);
  fleet.crash({ requestId: 'b', parts: ['shared', 'own'] }, 1_000);
  const again = { requestId: 'b', parts: ['shared', 'own'], isRepeat: true };
  assert.match(fleet.place(again, 1_100), /^u-/);
});

suite('a verdict withdraws attempts that have not begun, and leaves the others', () => {
  const fleet = fixtures.aQuarantineFleet();
  fleet.place({ requestId: 'waits', parts: ['deadly'] }, 0);
  fleet.place({ requestId: 'other', parts: ['sound'] }, 0);
  const withdrawn = fixtures
    .condemnElsewhere(fleet, 'deadly', 2_000)
    .filter((each) => each.kind === 'reply' && each.message.type === 'fleet.attempt-withdrawn');
  assert.is(withdrawn.length, 1);
});

suite('an attempt that broke counts only if its upstream is found down soon', () => {
  const breakAt = (requestId: string, atMs: number, downAfterMs: number) => {
    const fleet = fixtures.aQuarantineFleet();
    const upstream = fleet.place({ requestId, parts: ['p'] }, atMs);
    const broken = fleet.end(requestId, upstream, 'broken', atMs);
    assert.ok(broken.some((each) => each.kind === 'probe' && each.probe.kind === 'liveness'));
    fleet.probe(upstream, { kind: 'healthy', coldMs: undefined }, atMs + 5);
    fleet.send({ type: 'fleet.tick' }, atMs + downAfterMs - 1);
    fleet.end('another', upstream, 'unreachable', atMs + downAfterMs);
    return fixtures.countedParts(fleet).length;
  };
  assert.is(breakAt('a', 0, 1_000), 1);
  assert.is(breakAt('b', 0, 1_600), 0);
});

suite('a new incarnation and a removed entry show that the upstream went down', () => {
  const after = (message: (upstream: string) => core.messages.FleetMessage) => {
    const fleet = fixtures.aQuarantineFleet();
    const upstream = fleet.place({ requestId: 'a', parts: ['p'] }, 0);
    fleet.end('a', upstream, 'broken', 0);
    fleet.send(message(upstream), 500);
    return fixtures.countedParts(fleet).length;
  };
  const list = (update: Partial<core.fleet.discovery.Update>): core.messages.FleetMessage => ({
    type: 'fleet.upstream-list-read',
    update: { changed: [], removed: [], isSnapshot: false, ...update },
  });
  const returned = (id: string) => fixtures.aListedUpstream(id, { incarnationStartedAtMs: 2 });
  assert.is(
    after((id) => list({ changed: [returned(id)] })),
    1,
  );
  assert.is(
    after((id) => list({ removed: [id] })),
    1,
  );
  assert.is(
    after(() => list({})),
    0,
  );
});

/** Guards against a release: an upstream that leaves closes its connections. */
suite('attempts that broke at a draining or removed upstream are no suspects', () => {
  const fleet = fixtures.aQuarantineFleet();
  const upstream = fleet.place({ requestId: 'a', parts: ['p'] }, 0);
  const update = { changed: [], removed: [upstream], isSnapshot: false };
  fleet.send({ type: 'fleet.upstream-list-read', update }, 100);
  fleet.end('a', upstream, 'broken', 200);
  fleet.probe(upstream, { kind: 'no-response' }, 300);
  assert.equal(fixtures.countedParts(fleet), []);
});

/** Guards against breaks whose time is that of the instance’s return from a suspension. */
suite('what broke while the instance itself was suspended is not suspected', () => {
  const fleet = fixtures.aQuarantineFleet();
  fleet.send({ type: 'fleet.tick' }, 0);
  const upstream = fleet.place({ requestId: 'a', parts: ['p'] }, 100);
  fleet.end('a', upstream, 'broken', 5_000);
  fleet.probe(upstream, { kind: 'no-response' }, 5_100);
  assert.equal(fixtures.countedParts(fleet), []);
});

suite('a success of an attempt in flight lifts the verdict and tells all', () => {
  const fleet = fixtures.aQuarantineFleet();
  const upstream = fleet.place({ requestId: 'early', parts: ['p'] }, 0);
  fixtures.condemnElsewhere(fleet, 'p', 2_000);
  assert.is(fleet.place(having('p', 'refused'), 2_900), 'quarantined');
  const commands = fleet.begin('early', upstream, 3_000);
  assert.ok(kinds(commands).includes('record-verdict-lifted'));
  const told = commands.find((each) => each.kind === 'send-quarantine-update');
  assert.equal(told?.kind === 'send-quarantine-update' && [told.audience, told.update.cleared], [
    'all',
    [{ model: 'model-1', part: 'p' }],
  ]);
  assert.match(fleet.place(having('p'), 3_100), /^u-/);
});

/** Guards against crash after crash of one upstream whose return the list does not show. */
suite('an upstream that goes down again under the same entry counts again', () => {
  const fleet = fixtures.aQuarantineFleet();
  const crashAt = (atMs: number) => fixtures.aSuspect({ requestId: `r-${atMs}`, ageMs: 0 });
  [0, 1_000, 6_000, 12_000].forEach((atMs) => {
    const update = fixtures.aQuarantineUpdate({ suspects: [crashAt(atMs)] });
    fleet.send({ type: 'fleet.quarantine-update', update }, atMs);
  });
  const tallies = [...fleet.state.quarantine.tallies.values()];
  assert.equal(tallies[0]?.crashes.length, 3, 'the second suspect is of the first crash');
  assert.is(fleet.place({ requestId: 'later', parts: ['deadly'] }, 12_100), 'quarantined');
});

suite.run();
