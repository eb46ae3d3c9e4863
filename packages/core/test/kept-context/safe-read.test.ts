import * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

type Manifest = core.keptContext.Manifest;
type Observation = core.keptContext.Observation;

const suite = uvu.suite('safe reads');

function seen(manifest: Manifest, given: Partial<Observation> = {}): Observation {
  const { piece, slotIncarnation, storeIncarnation, lengthBytes, checksum } = manifest;
  return { piece, slotIncarnation, storeIncarnation, lengthBytes, checksum, ...given };
}

const FAULTS: readonly { fault: string; found: Partial<Observation>; reason: string }[] = [
  { fault: 'a freed slot was used again', found: { slotIncarnation: 'b' }, reason: 'slot-reused' },
  { fault: 'the store restarted', found: { storeIncarnation: 'b' }, reason: 'store-restarted' },
  { fault: 'the entry is half written', found: { lengthBytes: 32 }, reason: 'length' },
  { fault: 'the bytes are others', found: { checksum: 'bad' }, reason: 'checksum' },
  { fault: 'the slot holds another piece', found: { piece: 'piece-2' }, reason: 'wrong-piece' },
];

FAULTS.forEach(({ fault, found, reason }) => {
  suite(`is unsafe if ${fault}`, () => {
    const manifest = fixtures.aManifest();
    const verdict = core.keptContext.validateRead(manifest, seen(manifest, found));
    assert.equal(verdict, { kind: 'unsafe', reason });
  });
});

suite('is safe if all that was seen matches the manifest', () => {
  const manifest = fixtures.aManifest();
  assert.equal(core.keptContext.validateRead(manifest, seen(manifest)), { kind: 'safe' });
});

suite('uses the pieces before the first unsafe one and none behind it', () => {
  const manifests = ['a', 'b', 'c'].map((piece) => fixtures.aManifest({ piece }));
  const found = manifests.map((each) => seen(each, each.piece === 'b' ? { checksum: 'bad' } : {}));
  const safe = core.keptContext.safePrefix(manifests, found);
  assert.equal(
    safe.map(({ piece }) => piece),
    ['a'],
  );
});

suite.run();
