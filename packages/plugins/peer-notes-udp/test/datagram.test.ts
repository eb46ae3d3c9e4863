import * as fixtures from '@medlarweir/core/fixtures';
import * as peerNotes from '@medlarweir/plugin-peer-notes-udp';
import * as fc from 'fast-check';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('peer notes: datagrams');

const KEY = 'key-of-instance-2';
const keyOf = (from: string) => (from === 'instance-2' ? KEY : undefined);

function aNote() {
  const note = fixtures.aPeerUpdate({
    isSnapshot: true,
    work: [{ upstream: 'u-1', work: { unreadTokens: 5, promptTokens: 7, requests: 1 } }],
    sentParts: [{ upstream: 'u-1', salt: 'salt', parts: ['p0', 'p1'] }],
  });
  return { kind: 'work' as const, update: note };
}

function aStoreNote() {
  const changes = [
    { kind: 'complete' as const, salt: 'salt', id: 'p0', tokens: 5 },
    { kind: 'gone' as const, salt: 'salt', id: 'p1' },
  ];
  const news = { kind: 'changes' as const, epoch: 7, clockMs: 9, changes };
  return { kind: 'store' as const, from: 'instance-2', store: 'store-1', update: news };
}

suite('a note comes back as it was told', () => {
  const { encode, decode } = peerNotes.datagram;
  [aNote(), aStoreNote()].forEach((note) => assert.equal(decode(encode(note, KEY), keyOf), note));
});

suite('a note of a stranger, or with another key, is not taken', () => {
  const strange = { kind: 'work' as const, update: fixtures.aPeerUpdate({ from: 'instance-9' }) };
  const { encode, decode } = peerNotes.datagram;
  assert.is(decode(encode(strange, KEY), keyOf), undefined);
  assert.is(decode(encode(aNote(), 'another key'), keyOf), undefined);
});

suite('bytes that were changed or made up are not taken', () => {
  const { encode, decode } = peerNotes.datagram;
  const genuine = encode(aNote(), KEY);
  const changed = fc.property(
    fc.nat(genuine.length - 1),
    fc.integer({ min: 1, max: 255 }),
    (at, by) => {
      const bytes = Buffer.from(genuine);
      bytes.writeUInt8((bytes.readUInt8(at) + by) % 256, at);
      assert.is(decode(bytes, keyOf), undefined);
    },
  );
  fc.assert(changed, { seed: 20_261_204, numRuns: 300 });
  const madeUp = fc.property(fc.uint8Array({ maxLength: 200 }), (bytes) => {
    assert.is(decode(Buffer.from(bytes), keyOf), undefined);
  });
  fc.assert(madeUp, { seed: 20_261_204, numRuns: 300 });
});

suite.run();
