import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

import * as fixtures from './fixtures/stored-prompt.js';

const suite = uvu.suite('safe import');
const PIECE_TOKENS = 2_000;

type Fault = {
  fault: string;
  inject: (kept: fixtures.StoredPrompt) => Promise<void>;
  /** Pieces before the first that the fault touches. */
  safePieces: number;
};

/** The slot of the second of three pieces. */
const slotOf = ({ manifests }: fixtures.StoredPrompt) => manifests[1]?.slot ?? 0;
const incarnationOf = ({ manifests }: fixtures.StoredPrompt) => manifests[1]?.slotIncarnation ?? '';

const FAULTS: readonly Fault[] = [
  { fault: 'no fault', inject: async () => undefined, safePieces: 3 },
  {
    fault: 'the slot was freed',
    inject: (kept) => fixtures.freeSlot(kept.storeAddress, slotOf(kept)),
    safePieces: 1,
  },
  {
    fault: 'the bytes in the slot are others, of the same length',
    inject: (kept) =>
      fixtures.fillSlot(kept.storeAddress, slotOf(kept), incarnationOf(kept), Buffer.alloc(64, 1)),
    safePieces: 1,
  },
  {
    fault: 'the slot is half written',
    inject: (kept) =>
      fixtures.fillSlot(kept.storeAddress, slotOf(kept), incarnationOf(kept), Buffer.alloc(32, 1)),
    safePieces: 1,
  },
  {
    fault: 'the store was started anew and is empty',
    inject: (kept) => kept.restartStore(),
    safePieces: 0,
  },
  {
    fault: 'the store was started anew, with other pieces under the old slot numbers',
    inject: async (kept) => {
      await kept.restartStore();
      for (const { piece } of kept.manifests) {
        const { slot, slotIncarnation } = await fixtures.reserveSlot(kept.storeAddress, piece, 64);
        const content = Buffer.alloc(64, slot);
        await fixtures.fillSlot(kept.storeAddress, slot, slotIncarnation, content);
      }
    },
    safePieces: 0,
  },
];

FAULTS.forEach(({ fault, inject, safePieces }) => {
  suite(`${fault}: the answer is whole and right`, async () => {
    const kept = await fixtures.aStoredPrompt();
    try {
      assert.is(kept.manifests.length, 3);
      await inject(kept);
      const { text, importedTokens } = await kept.importAndRun();
      assert.is(text, kept.expectedText);
      assert.is(importedTokens, safePieces * PIECE_TOKENS);
    } finally {
      await kept.close();
    }
  });
});

suite('a piece whose writer died before the commit is never offered', async () => {
  const kept = await fixtures.aStoredPrompt();
  try {
    const { slot, slotIncarnation } = await fixtures.reserveSlot(kept.storeAddress, 'half', 64);
    await fixtures.fillSlot(kept.storeAddress, slot, slotIncarnation, Buffer.alloc(32));
    assert.not.ok(kept.manifests.some(({ piece }) => piece === 'half'));
    assert.is((await kept.importAndRun()).text, kept.expectedText);
  } finally {
    await kept.close();
  }
});

suite.run();
