import * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
import * as fastCheck from 'fast-check';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const { namePieces, deriveRoot, PIECE_BYTES } = core.keptContext;
const suite = uvu.suite('naming of pieces');

function aRoot(account = 'alpha', weightVersion = 'v1'): string {
  const service = fixtures.aModelService({ weightVersion });
  return deriveRoot(fixtures.aClientAccount({ name: account }), service);
}

suite('names every whole piece and leaves a shorter rest without a name', () => {
  const prompt = 'a'.repeat(PIECE_BYTES * 2 + 10);
  assert.is(namePieces(aRoot(), prompt).length, 2);
});

suite('another account cannot name the same text', () => {
  const prompt = 'a'.repeat(PIECE_BYTES * 3);
  const own = new Set(namePieces(aRoot('alpha'), prompt));
  const other = namePieces(aRoot('beta'), prompt);
  assert.ok(other.every((name) => !own.has(name)));
});

suite('another weight version cannot name the same text', () => {
  const prompt = 'a'.repeat(PIECE_BYTES * 3);
  const own = new Set(namePieces(aRoot('alpha', 'v1'), prompt));
  const other = namePieces(aRoot('alpha', 'v2'), prompt);
  assert.ok(other.every((name) => !own.has(name)));
});

suite('equal names mean equal text from the start', () => {
  const text = fastCheck.string({ minLength: 1, maxLength: 40 });
  fastCheck.assert(
    fastCheck.property(text, text, (a, b) => {
      const grow = (seed: string) => seed.padEnd(PIECE_BYTES * 2, `${seed}.`);
      const [first, second] = [grow(a), grow(b)];
      const names = namePieces(aRoot(), first);
      const others = namePieces(aRoot(), second);
      const isSame =
        Buffer.from(first).subarray(0, PIECE_BYTES).toString('hex') ===
        Buffer.from(second).subarray(0, PIECE_BYTES).toString('hex');
      assert.is(names[0] === others[0], isSame);
    }),
    fixtures.seeded(100),
  );
});

suite.run();
