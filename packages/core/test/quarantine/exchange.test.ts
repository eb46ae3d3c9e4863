/** Guards against verdicts that some instances do not know, or that outlive their reason. */
import type * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('quarantine: between instances and the store');

const REQUEST = { requestId: 'later', parts: ['deadly'] };
const WALL_MS = fixtures.anInstant().wallMs;

type Fleet = fixtures.QuarantineFleet;

function updates(commands: readonly core.fleet.Command[]) {
  return commands.flatMap((each) => (each.kind === 'send-quarantine-update' ? [each] : []));
}

function writes(commands: readonly core.fleet.Command[]) {
  return commands.flatMap((each) => (each.kind === 'store-verdict' ? [each] : []));
}

function hear(fleet: Fleet, changed: Partial<core.quarantine.Update>, atMs: number) {
  const update = fixtures.aQuarantineUpdate(changed);
  return fleet.send({ type: 'fleet.quarantine-update', update }, atMs);
}

function read(
  fleet: Fleet,
  verdicts: readonly core.quarantine.StoredVerdict[],
  atMs: number,
  removed: readonly string[] = [],
) {
  return fleet.send({ type: 'fleet.verdicts-read', verdicts, removed, isSnapshot: false }, atMs);
}

function tick(fleet: Fleet, atMs: number) {
  return fleet.send({ type: 'fleet.tick' }, atMs);
}

suite('suspects are told to all at once, and for ten seconds to some', () => {
  const fleet = fixtures.aQuarantineFleet();
  const [told] = updates(fleet.crash({ requestId: 'a', parts: ['deadly'] }, 100));
  assert.is(told?.audience, 'all');
  assert.equal(told?.update.suspects[0]?.parts, ['deadly', 'request-content-of-a']);
  const [repeated] = updates(tick(fleet, 600));
  assert.is(repeated?.audience, 'some');
  assert.is(repeated?.update.suspects[0]?.ageMs, 500);
  assert.equal(updates(tick(fleet, 10_200)), []);
});

suite('crashes that other instances saw count as own ones', () => {
  const fleet = fixtures.aQuarantineFleet();
  fleet.crash({ requestId: 'a', parts: ['deadly'] }, 0);
  const suspects = [1, 2].map((at) =>
    fixtures.aSuspect({ crash: `u-9@${at}`, requestId: `r-${at}`, ageMs: (at - 1) * 400 }),
  );
  hear(fleet, { suspects }, 1_000);
  assert.is(fleet.place(REQUEST, 1_100), 'quarantined');
});

suite('a suspect that is told again is neither counted nor passed on for longer', () => {
  const fleet = fixtures.aQuarantineFleet();
  const told = (ageMs: number) => [fixtures.aSuspect({ ageMs })];
  hear(fleet, { suspects: told(0) }, 0);
  hear(fleet, { suspects: told(9_000) }, 9_000);
  assert.equal(updates(tick(fleet, 10_100)), []);
});

suite('a verdict of another instance is in force at once, and withdraws attempts', () => {
  const fleet = fixtures.aQuarantineFleet();
  fleet.place({ requestId: 'waits', parts: ['deadly'] }, 0);
  const commands = hear(fleet, { verdicts: [fixtures.aVerdict()] }, 100);
  assert.ok(commands.some((each) => each.kind === 'reply'));
  assert.is(fleet.place(REQUEST, 200), 'quarantined');
});

suite('an instance that knows better answers suspects and verdicts with its success', () => {
  const fleet = fixtures.aQuarantineFleet();
  fleet.succeed({ requestId: 'a', parts: ['deadly'] }, 0);
  hear(fleet, { verdicts: [fixtures.aVerdict()] }, 100);
  assert.match(fleet.place(REQUEST, 200), /^u-/);
  const [told] = updates(tick(fleet, 500));
  assert.equal(told?.update.cleared, [{ model: 'model-1', part: 'deadly' }]);
});

suite('a success elsewhere lifts, and late verdicts of peers are ignored for a minute', () => {
  const fleet = fixtures.aQuarantineFleet();
  hear(fleet, { verdicts: [fixtures.aVerdict()] }, 0);
  hear(fleet, { cleared: [{ model: 'model-1', part: 'deadly' }] }, 100);
  hear(fleet, { verdicts: [fixtures.aVerdict()] }, 59_000);
  assert.match(fleet.place(REQUEST, 59_100), /^u-/);
  hear(fleet, { verdicts: [fixtures.aVerdict()] }, 61_000);
  assert.is(fleet.place(REQUEST, 61_100), 'quarantined');
});

suite('the instance that counted the last crash writes at once, others if it does not', () => {
  const own = fixtures.aQuarantineFleet();
  const [write] = writes(fixtures.condemn(own));
  assert.equal([write?.expectedVersion, write?.isTrial], [0, false]);
  const other = fixtures.aQuarantineFleet();
  assert.equal(writes(hear(other, { verdicts: [fixtures.aVerdict()] }, 0)), []);
  assert.equal(writes(tick(other, 1_400)), []);
  assert.is(writes(tick(other, 4_600)).length, 1);
});

suite('a verdict that the store shows is not written, a refused write is sent again', () => {
  const shown = fixtures.aQuarantineFleet();
  hear(shown, { verdicts: [fixtures.aVerdict()] }, 0);
  read(shown, [fixtures.aStoredVerdict()], 1_000);
  assert.equal(writes(tick(shown, 5_000)), []);
  const refused = fixtures.aQuarantineFleet();
  const [write] = writes(fixtures.condemn(refused));
  const { name } = fixtures.aStoredVerdict(write?.verdict);
  const answer = { type: 'fleet.verdict-stored' as const, name, isTrial: false };
  refused.send({ ...answer, version: undefined }, 2_100);
  assert.is(writes(tick(refused, 7_000)).length, 1);
  refused.send({ ...answer, version: 4 }, 7_100);
  assert.equal(writes(tick(refused, 20_000)), []);
});

suite('an instance that starts takes verdicts from the store', () => {
  const fleet = fixtures.aQuarantineFleet();
  read(fleet, [fixtures.aStoredVerdict()], 0);
  assert.is(fleet.place(REQUEST, 100), 'quarantined');
});

suite('an operator lifts a verdict by deleting its object', () => {
  const fleet = fixtures.aQuarantineFleet();
  const stored = fixtures.aStoredVerdict();
  read(fleet, [stored], 0);
  read(fleet, [], 1_000, [stored.name]);
  assert.match(fleet.place(REQUEST, 1_100), /^u-/);
  assert.equal(writes(tick(fleet, 10_000)), []);
});

suite('an object that a snapshot no longer has was deleted', () => {
  const fleet = fixtures.aQuarantineFleet();
  read(fleet, [fixtures.aStoredVerdict()], 0);
  const empty = { type: 'fleet.verdicts-read' as const, verdicts: [], removed: [] };
  fleet.send({ ...empty, isSnapshot: true }, 1_000);
  assert.match(fleet.place(REQUEST, 1_100), /^u-/);
});

/** Guards against a lifted verdict that comes back with the next instance that starts. */
suite('a lifted verdict is lifted in the store as well', () => {
  const fleet = fixtures.aQuarantineFleet();
  const upstream = fleet.place({ requestId: 'early', parts: ['deadly'] }, 0);
  read(fleet, [fixtures.aStoredVerdict({ clientAccounts: ['account-9'] }, 3)], 10);
  const [write] = writes(fleet.begin('early', upstream, 1_000));
  assert.equal([write?.expectedVersion, write?.verdict.clientAccounts], [3, []]);
  const started = fixtures.aQuarantineFleet('instance-9');
  read(started, [fixtures.aStoredVerdict(write?.verdict, 4)], 2_000);
  assert.match(started.place(REQUEST, 2_100), /^u-/);
});

suite('a stored verdict older than the lift is lifted again', () => {
  const fleet = fixtures.aQuarantineFleet();
  hear(fleet, { verdicts: [fixtures.aVerdict()] }, 0);
  hear(fleet, { cleared: [{ model: 'model-1', part: 'deadly' }] }, 100);
  read(fleet, [fixtures.aStoredVerdict({ condemnedAtMs: WALL_MS + 50 })], 1_000);
  assert.match(fleet.place(REQUEST, 1_100), /^u-/);
  assert.equal(writes(tick(fleet, 6_000))[0]?.verdict.clientAccounts, []);
});

suite('after a minute, one instance claims a trial and lets one request through', () => {
  const fleet = fixtures.aQuarantineFleet();
  const stored = fixtures.aStoredVerdict();
  read(fleet, [stored], 0);
  const claimAt = (atMs: number) => {
    const placementRequest = fixtures.aPlacementRequest({
      requestId: `r-${atMs}`,
      prompt: fixtures.aPrompt('deadly', 'own'),
    });
    const replyTo = fixtures.aMailbox<core.messages.RequestMessage>();
    return writes(fleet.send({ type: 'fleet.place', placementRequest, replyTo }, atMs));
  };
  assert.equal(claimAt(59_000), []);
  const [claim] = claimAt(60_500);
  assert.equal([claim?.isTrial, claim?.verdict.trials, claim?.expectedVersion], [true, 1, 1]);
  assert.equal(claimAt(60_600), []);
  const answer = { type: 'fleet.verdict-stored' as const, name: stored.name, isTrial: true };
  fleet.send({ ...answer, version: 2 }, 60_700);
  fleet.crash({ requestId: 'trial', parts: ['deadly'] }, 61_000);
  assert.is(fleet.place(REQUEST, 62_000), 'quarantined');
  assert.equal(claimAt(599_000), []);
  const [second] = claimAt(600_500);
  assert.equal([second?.verdict.trials, second?.expectedVersion], [2, 2]);
  fleet.send({ ...answer, version: 3 }, 600_600);
  fleet.succeed({ requestId: 'trial-2', parts: ['deadly'] }, 601_000);
  assert.match(fleet.place(REQUEST, 602_000), /^u-/);
});

suite('a claim that another instance won lets nothing through', () => {
  const fleet = fixtures.aQuarantineFleet();
  const stored = fixtures.aStoredVerdict();
  read(fleet, [stored], 0);
  assert.is(fleet.place(REQUEST, 60_500), 'quarantined');
  const answer = { type: 'fleet.verdict-stored' as const, name: stored.name, isTrial: true };
  fleet.send({ ...answer, version: undefined }, 60_600);
  assert.is(fleet.place(REQUEST, 60_700), 'quarantined');
});

/** Guards against a sound part whose only trials are used up by requests that no upstream ran. */
suite('a trial whose request did not run is not spent', () => {
  const fleet = fixtures.aQuarantineFleet();
  const stored = fixtures.aStoredVerdict();
  read(fleet, [stored], 0);
  fleet.place(REQUEST, 60_500);
  const answer = { type: 'fleet.verdict-stored' as const, name: stored.name, isTrial: true };
  fleet.send({ ...answer, version: 2 }, 60_600);
  const upstream = fleet.place({ requestId: 'trial', parts: ['deadly'] }, 61_000);
  fleet.end('trial', upstream, 'rejected', 61_100);
  assert.match(fleet.place(REQUEST, 61_200), /^u-/);
});

/** Guards against a write for each refused request while the store turns claims away. */
suite('a claim without success is not repeated by the next requests', () => {
  const fleet = fixtures.aQuarantineFleet();
  const stored = fixtures.aStoredVerdict();
  read(fleet, [stored], 0);
  const placementRequest = fixtures.aPlacementRequest({
    prompt: fixtures.aPrompt('deadly', 'own'),
  });
  const replyTo = fixtures.aMailbox<core.messages.RequestMessage>();
  const refuse = (atMs: number) =>
    writes(fleet.send({ type: 'fleet.place', placementRequest, replyTo }, atMs)).length;
  assert.is(refuse(60_500), 1);
  const answer = { type: 'fleet.verdict-stored' as const, name: stored.name, isTrial: true };
  fleet.send({ ...answer, version: undefined }, 60_600);
  assert.is(refuse(60_700), 0);
  assert.is(refuse(71_000), 1);
});

suite('after two trials there is none', () => {
  const fleet = fixtures.aQuarantineFleet();
  read(fleet, [fixtures.aStoredVerdict({ trials: 2 })], 0);
  fleet.place(REQUEST, 10_000_000);
  const trials = [...fleet.state.quarantine.verdicts.values()].map(({ trial }) => trial.kind);
  assert.equal(trials, ['none']);
});

/** Guards against a clock that runs ahead: its instance took each new verdict for one from before the lift. */
suite('a verdict that is stored after a lift is in force, whatever the clocks say', () => {
  const ahead = fixtures.aQuarantineFleet();
  const stored = fixtures.aStoredVerdict({ condemnedAtMs: WALL_MS - 3_600_000 });
  read(ahead, [stored], 0);
  read(ahead, [], 1_000, [stored.name]);
  read(ahead, [{ ...stored, version: 5 }], 2_000);
  assert.is(ahead.place(REQUEST, 2_100), 'quarantined');
  assert.equal(writes(tick(ahead, 10_000)), []);
});

/** Guards against an instance that missed the news of a verdict and needs three crashes of its own. */
suite('who holds a verdict tells peers that suspect its part, and members that join', () => {
  const fleet = fixtures.aQuarantineFleet();
  hear(fleet, { verdicts: [fixtures.aVerdict()] }, 0);
  const told = (atMs: number) => updates(tick(fleet, atMs)).flatMap((each) => each.update.verdicts);
  assert.equal(told(30_000), []);
  hear(fleet, { suspects: [fixtures.aSuspect()] }, 30_100);
  assert.is(told(30_500).length, 1);
  assert.equal(told(60_000), []);
  fleet.send({ type: 'fleet.members-changed', names: ['instance-1', 'instance-3'] }, 60_100);
  assert.is(told(60_500).length, 1);
});

suite.run();
