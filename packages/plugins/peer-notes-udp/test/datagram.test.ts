import * as crypto from 'node:crypto';

import * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
import * as peerNotes from '@medlarweir/plugin-peer-notes-udp';
import * as fc from 'fast-check';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

/**
 * Guards against an encoding that loses or alters a part of an update, and against accepting forged
 * or corrupted datagrams that arrive on the UDP socket.
 */
const suite = uvu.suite('peer updates: datagrams');

/** Payload of UDP in an Ethernet frame; larger datagrams are fragmented, and lost with any fragment. */
const MAX_PACKET_BYTES = 1_472;
const KEY = 'key-of-instance-2';
const keyOf = (from: string) => (from === 'instance-2' ? KEY : undefined);

function aWorkUpdate() {
  const work = fixtures.aPeerUpdate({
    isSnapshot: true,
    work: [{ upstream: 'u-1', work: { unreadTokens: 5, promptTokens: 7, requests: 1 } }],
    sentParts: [{ upstream: 'u-1', salt: 'salt', parts: ['p0', 'p1'] }],
  });
  return { kind: 'work' as const, update: work };
}

function aStoreUpdate() {
  const changes = [
    { kind: 'complete' as const, salt: 'salt', id: 'p0', tokens: 5 },
    { kind: 'gone' as const, salt: 'salt', id: 'p1' },
  ];
  const update = { kind: 'changes' as const, epoch: 7, clockMs: 9, changes };
  const updates = [
    { store: 'store-1', update },
    { store: 'store-2', update: { kind: 'unreachable' as const } },
  ];
  return { kind: 'stores' as const, from: 'instance-2', updates };
}

function aSpeedUpdate(upstreams: number) {
  const rows = Array.from({ length: upstreams }, (_, at) => ({
    upstream: `i-${String(at).padStart(10, 'a')}`,
    factor: 1.31,
    samples: 299.9,
    slowdown: at % 2 === 0 ? { factor: 2.5, ageMs: 1_234 } : undefined,
  }));
  return { kind: 'speeds' as const, update: { from: 'instance-2', scope: 'fleet' as const, rows } };
}

const QUESTION = { incarnation: 'life-1', sentAt: { monotonicMs: 5, wallMs: 6 } };

function aUsageUpdate(accounts = 2) {
  const listed = Array.from({ length: accounts }, (_, at) => ({
    account: core.shares.ledger.keyOf(`client-account-${at}`),
    amounts: { used: 1_234_567 + at, refused: 765_432 },
  }));
  const rest = { accounts: 300, used: 123_456, refused: 1_234 };
  const services = [{ service: 'a-service-of-models', accounts: listed, rest }];
  const update: core.shares.Update = {
    from: 'instance-2',
    scope: 'own',
    incarnation: 'life-1',
    sentAtMs: 5,
    services,
  };
  return { kind: 'usage' as const, update };
}

function aQuestion() {
  return { kind: 'question' as const, from: 'instance-2', question: QUESTION };
}

function anAnswer() {
  const positions = [{ objectKind: 'things', revision: 9, changedAt: 7, ageMs: 30 }];
  return { kind: 'answer' as const, from: 'instance-2', question: QUESTION, positions };
}

function aChange() {
  const objects = [{ key: 'things/a', version: 9, value: { size: 1 }, writeId: '' }];
  const changes = { objectKind: 'things', since: 7, revision: 9, objects, removed: ['things/b'] };
  return { kind: 'changes' as const, from: 'instance-2', changes };
}

function aQuarantineUpdate(changed: Partial<core.quarantine.Update> = {}) {
  const update = {
    from: 'instance-2',
    suspects: [aSuspect(0)],
    cleared: [{ model: 'model-1', part: 'b2' }],
    verdicts: [aVerdict(0), aVerdict(1)],
    ...changed,
  };
  return { kind: 'quarantine' as const, update };
}

/** Names as long as those of the platform. */
function aSuspect(at: number): core.quarantine.Suspect {
  const upstream = `i-${String(at).padStart(10, 'a')}`;
  return {
    crash: `${upstream}@1790000000000`,
    upstream,
    requestId: String(at).padStart(16, 'b'),
    clientAccount: 'an-account-1',
    model: 'model-1234567',
    parts: Array.from({ length: 12 }, (_, part) => `${at}${part}`.padStart(8, 'c')),
    hadHead: at % 2 === 0,
    ageMs: 12,
  };
}

function aVerdict(at: number): core.quarantine.Verdict {
  const crashes = [0, 1, 2].map(aSuspect).map(({ upstream, requestId }) => ({
    upstream,
    requestId,
  }));
  return {
    model: 'model-1234567',
    part: String(at).padStart(8, 'd'),
    companions: at % 2 === 0 ? [] : ['e'.repeat(8)],
    clientAccounts: ['an-account-1', 'an-account-2'],
    crashes,
    condemnedAtMs: 1_790_000_000_000,
    trials: 1,
  };
}

suite('decoding an encoded update returns the same update', () => {
  const { encode, decode } = peerNotes.datagram;
  [aWorkUpdate(), aQuarantineUpdate(), aStoreUpdate(), aQuestion(), anAnswer(), aChange()].forEach(
    (update) => assert.equal(decode(encode(update, KEY), keyOf), update),
  );
  assert.equal(decode(encode(aSpeedUpdate(3), KEY), keyOf), aSpeedUpdate(3));
  [
    aWorkUpdate(),
    aUsageUpdate(),
    aQuarantineUpdate(),
    aStoreUpdate(),
    aQuestion(),
    anAnswer(),
    aChange(),
  ].forEach((update) => assert.equal(decode(encode(update, KEY), keyOf), update));
});

suite('a summary of the speed of upstreams fits into a packet', () => {
  assert.ok(peerNotes.datagram.encode(aSpeedUpdate(25), KEY).length <= MAX_PACKET_BYTES);
});

/** During a rolling update, releases that know a kind of update send it to those that do not. */
suite('an update of an unknown kind is ignored', () => {
  const body = Buffer.from(JSON.stringify(['a-later-kind', 'instance-2', []]));
  const signature = crypto.createHmac('sha256', KEY).update(body).digest().subarray(0, 16);
  assert.is(peerNotes.datagram.decode(Buffer.concat([signature, body]), keyOf), undefined);
});

/**
 * Guards against large deployments in which instances did not know of each other's work: sums over 69
 * engines were datagrams of more than 2 KB.
 */
suite('sums over many engines and batches of store events fit into packets', () => {
  const listed = Array.from({ length: 98 }, (_, at) =>
    fixtures.aListedUpstream(`i-${String(at).padStart(10, 'a')}`),
  );
  const state = fixtures.aFleet(listed);
  const work = { unreadTokens: 123_456, promptTokens: 234_567, requests: 16 };
  state.registry.upstreams.forEach((each) => Object.assign(each, { inFlight: new Map() }));
  const update = fixtures.aPeerUpdate({
    work: listed.map(({ id }) => ({ upstream: id, work })),
  });
  const reader = core.fleet.peerUpdates.receive(
    core.fleet.peerUpdates.withSharing(state, 'as-reader'),
    update,
    fixtures.anInstant(),
  );
  const sums = core.fleet.peerUpdates
    .takeSummaries(reader, fixtures.anInstant(123_456.78))
    .map((each) => ({ kind: 'work' as const, update: each }));
  const changes = Array.from({ length: 200 }, (_, at) => ({
    kind: 'complete' as const,
    salt: `mw/a-model/${at % 2}`,
    id: (0xab_cd_ef_00 + at).toString(16),
    tokens: 12_345,
  }));
  const batch = core.readers.storeBatch.add(new Map(), 'a-store-123', {
    kind: 'changes',
    epoch: 123_456,
    clockMs: 1_790_000_000_000,
    changes,
  });
  const stores = core.readers.storeBatch
    .split(batch)
    .map((updates) => ({ kind: 'stores' as const, from: 'front-somewhere-100', updates }));
  [...sums, ...stores].forEach((each) =>
    assert.ok(peerNotes.datagram.encode(each, KEY).length <= MAX_PACKET_BYTES),
  );
});

suite('the usage of the largest client accounts fits into a packet', () => {
  const { length } = peerNotes.datagram.encode(aUsageUpdate(32), KEY);
  assert.ok(length <= MAX_PACKET_BYTES, `${length}`);
});

/** Guards against a peer whose update makes the receiver hold or compute without bound. */
suite('an update with more client accounts than senders list is ignored', () => {
  const { encode, decode } = peerNotes.datagram;
  assert.is(decode(encode(aUsageUpdate(65), KEY), keyOf), undefined);
});

/** Guards against a burst of crashes whose evidence is lost because it does not fit into a packet. */
suite('all evidence of a burst of crashes arrives, in datagrams that fit into packets', () => {
  const { update } = aQuarantineUpdate({
    suspects: Array.from({ length: 32 }, (_, at) => aSuspect(at)),
    cleared: Array.from({ length: 64 }, (_, at) => ({ model: 'model-1', part: String(at) })),
    verdicts: Array.from({ length: 64 }, (_, at) => aVerdict(at)),
  });
  const pieces = peerNotes.quarantineRows.split(update);
  const received = pieces.map((each) => {
    const bytes = peerNotes.datagram.encode({ kind: 'quarantine', update: each }, KEY);
    assert.ok(bytes.length <= MAX_PACKET_BYTES);
    const decoded = peerNotes.datagram.decode(bytes, keyOf);
    return decoded?.kind === 'quarantine' ? decoded.update : undefined;
  });
  assert.equal(
    received.flatMap((each) => each?.suspects ?? []),
    update.suspects,
  );
  assert.equal(
    received.flatMap((each) => each?.cleared ?? []),
    update.cleared,
  );
  assert.equal(
    received.flatMap((each) => each?.verdicts ?? []),
    update.verdicts,
  );
});

suite('a suspect with names as long as a header goes alone and keeps its neighbours whole', () => {
  const large = { ...aSuspect(1), parts: ['x'.repeat(5_000)] };
  const { update } = aQuarantineUpdate({ suspects: [aSuspect(0), large, aSuspect(2)] });
  const sizes = peerNotes.quarantineRows
    .split(update)
    .map((each) => peerNotes.datagram.encode({ kind: 'quarantine', update: each }, KEY).length);
  assert.is(sizes.filter((size) => size > MAX_PACKET_BYTES).length, 1);
});

suite('an update without content needs no datagram', () => {
  const nothing = aQuarantineUpdate({ suspects: [], cleared: [], verdicts: [] });
  assert.equal(peerNotes.quarantineRows.split(nothing.update), []);
});

suite('rejects an update from an unknown sender or signed with another key', () => {
  const fromStranger = {
    kind: 'work' as const,
    update: fixtures.aPeerUpdate({ from: 'instance-9' }),
  };
  const { encode, decode } = peerNotes.datagram;
  assert.is(decode(encode(fromStranger, KEY), keyOf), undefined);
  assert.is(decode(encode(aWorkUpdate(), 'another key'), keyOf), undefined);
});

suite('rejects modified datagrams and random bytes', () => {
  const { encode, decode } = peerNotes.datagram;
  const genuine = encode(aWorkUpdate(), KEY);
  const modified = fc.property(
    fc.nat(genuine.length - 1),
    fc.integer({ min: 1, max: 255 }),
    (at, by) => {
      const bytes = Buffer.from(genuine);
      bytes.writeUInt8((bytes.readUInt8(at) + by) % 256, at);
      assert.is(decode(bytes, keyOf), undefined);
    },
  );
  fc.assert(modified, { seed: 20_261_204, numRuns: 300 });
  const random = fc.property(fc.uint8Array({ maxLength: 200 }), (bytes) => {
    assert.is(decode(Buffer.from(bytes), keyOf), undefined);
  });
  fc.assert(random, { seed: 20_261_204, numRuns: 300 });
});

suite.run();
