/**
 * Guards against an answer computed from wrong KV cache bytes: after the export of a piece its slot may be
 * freed, overwritten or half written, or the store may restart. Only pieces before the fault may be imported.
 */
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

import * as fixtures from './fixtures/stored-prompt.js';

const suite = uvu.suite('safe import');
const PIECE_TOKENS = 2_000;

type Fault = {
  fault: string;
  inject: (stored: fixtures.StoredPrompt) => Promise<void>;
  /** Number of pieces before the first one that the fault affects. */
  safePieces: number;
};

/** The slot of the second of three pieces. */
const slotOf = ({ manifests }: fixtures.StoredPrompt) => manifests[1]?.slot ?? 0;
const incarnationOf = ({ manifests }: fixtures.StoredPrompt) => manifests[1]?.slotIncarnation ?? '';

const FAULTS: readonly Fault[] = [
  { fault: 'no fault', inject: async () => undefined, safePieces: 3 },
  {
    fault: 'the slot was freed',
    inject: (stored) => fixtures.freeSlot(stored.storeAddress, slotOf(stored)),
    safePieces: 1,
  },
  {
    fault: 'the slot holds other bytes of the same length',
    inject: (stored) =>
      fixtures.fillSlot(
        stored.storeAddress,
        slotOf(stored),
        incarnationOf(stored),
        Buffer.alloc(64, 1),
      ),
    safePieces: 1,
  },
  {
    fault: 'only half of the slot is written',
    inject: (stored) =>
      fixtures.fillSlot(
        stored.storeAddress,
        slotOf(stored),
        incarnationOf(stored),
        Buffer.alloc(32, 1),
      ),
    safePieces: 1,
  },
  {
    fault: 'the store was restarted and is empty',
    inject: (stored) => stored.restartStore(),
    safePieces: 0,
  },
  {
    fault: 'the store was restarted and holds other bytes under the old slot numbers',
    inject: async (stored) => {
      await stored.restartStore();
      for (const { piece } of stored.manifests) {
        const { slot, slotIncarnation } = await fixtures.reserveSlot(
          stored.storeAddress,
          piece,
          64,
        );
        const content = Buffer.alloc(64, slot);
        await fixtures.fillSlot(stored.storeAddress, slot, slotIncarnation, content);
      }
    },
    safePieces: 0,
  },
];

FAULTS.forEach(({ fault, inject, safePieces }) => {
  suite(
    `${fault}: the answer is complete and correct, and only safe pieces are imported`,
    async () => {
      const stored = await fixtures.aStoredPrompt();
      try {
        assert.is(stored.manifests.length, 3);
        await inject(stored);
        const { text, importedTokens } = await stored.importAndRun();
        assert.is(text, stored.expectedText);
        assert.is(importedTokens, safePieces * PIECE_TOKENS);
      } finally {
        await stored.close();
      }
    },
  );
});

suite('a piece whose writer stopped before the commit is in no manifest', async () => {
  const stored = await fixtures.aStoredPrompt();
  try {
    const { slot, slotIncarnation } = await fixtures.reserveSlot(stored.storeAddress, 'half', 64);
    await fixtures.fillSlot(stored.storeAddress, slot, slotIncarnation, Buffer.alloc(32));
    assert.not.ok(stored.manifests.some(({ piece }) => piece === 'half'));
    assert.is((await stored.importAndRun()).text, stored.expectedText);
  } finally {
    await stored.close();
  }
});

suite.run();
