// Guards against the use of a piece whose bytes are not those of its manifest, because its slot was
// reused, its store restarted, or its data was incomplete or corrupted when it was read.
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
  { fault: 'a freed slot was reused', found: { slotIncarnation: 'b' }, reason: 'slot-reused' },
  { fault: 'the store restarted', found: { storeIncarnation: 'b' }, reason: 'store-restarted' },
  { fault: 'the entry is only partly written', found: { lengthBytes: 32 }, reason: 'length' },
  { fault: 'the bytes have another checksum', found: { checksum: 'bad' }, reason: 'checksum' },
  { fault: 'the slot holds another piece', found: { piece: 'piece-2' }, reason: 'wrong-piece' },
];

FAULTS.forEach(({ fault, found, reason }) => {
  suite(`a read is unsafe if ${fault}`, () => {
    const manifest = fixtures.aManifest();
    const validation = core.keptContext.validateRead(manifest, seen(manifest, found));
    assert.equal(validation, { kind: 'unsafe', reason });
  });
});

suite('a read is safe if everything observed matches the manifest', () => {
  const manifest = fixtures.aManifest();
  assert.equal(core.keptContext.validateRead(manifest, seen(manifest)), { kind: 'safe' });
});

suite('pieces before the first unsafe one are used, and none after it', () => {
  const manifests = ['a', 'b', 'c'].map((piece) => fixtures.aManifest({ piece }));
  const found = manifests.map((each) => seen(each, each.piece === 'b' ? { checksum: 'bad' } : {}));
  const safe = core.keptContext.safePrefix(manifests, found);
  assert.equal(
    safe.map(({ piece }) => piece),
    ['a'],
  );
});

suite.run();
