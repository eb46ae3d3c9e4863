// Guards against a piece name that is shared by prompts of different text, client accounts or
// weight versions: one of them would be served the context of the other.
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

suite('every whole piece gets a name, and a shorter remainder gets none', () => {
  const prompt = 'a'.repeat(PIECE_BYTES * 2 + 10);
  assert.is(namePieces(aRoot(), prompt).length, 2);
});

suite('another client account gets different names for the same text', () => {
  const prompt = 'a'.repeat(PIECE_BYTES * 3);
  const ownNames = new Set(namePieces(aRoot('alpha'), prompt));
  const other = namePieces(aRoot('beta'), prompt);
  assert.ok(other.every((name) => !ownNames.has(name)));
});

suite('another weight version gets different names for the same text', () => {
  const prompt = 'a'.repeat(PIECE_BYTES * 3);
  const ownNames = new Set(namePieces(aRoot('alpha', 'v1'), prompt));
  const other = namePieces(aRoot('alpha', 'v2'), prompt);
  assert.ok(other.every((name) => !ownNames.has(name)));
});

suite('equal names mean equal text from the start', () => {
  const text = fastCheck.string({ minLength: 1, maxLength: 40 });
  fastCheck.assert(
    fastCheck.property(text, text, (a, b) => {
      const padToTwoPieces = (seed: string) => seed.padEnd(PIECE_BYTES * 2, `${seed}.`);
      const [first, second] = [padToTwoPieces(a), padToTwoPieces(b)];
      const names = namePieces(aRoot(), first);
      const others = namePieces(aRoot(), second);
      const isSameText =
        Buffer.from(first).subarray(0, PIECE_BYTES).toString('hex') ===
        Buffer.from(second).subarray(0, PIECE_BYTES).toString('hex');
      assert.is(names[0] === others[0], isSameText);
    }),
    fixtures.seeded(100),
  );
});

suite.run();
