import type * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
import * as fastCheck from 'fast-check';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

import * as router from '../src/router.js';

const suite = uvu.suite('notes between instances');

/** A router whose notes are kept, called by a peer that holds the key or does not. */
function aPeer(isAuthenticated = true) {
  const received: core.messages.GossipMessage[] = [];
  const offered = router.createRouter({
    onGossipMessage: (found) => received.push(found),
    dump: () => ({}),
  });
  return { received, calls: offered.createCaller({ isAuthenticated }) };
}

const NOTE = { kind: 'heartbeat', from: 'instance-1', incarnation: 'a', sequence: 1 };

suite('any note is delivered typed or refused', async () => {
  const input = fastCheck.oneof(fastCheck.jsonValue(), fixtures.nearlyValid(NOTE));
  await fastCheck.assert(
    fastCheck.asyncProperty(input, async (found) => {
      const { calls, received } = aPeer();
      const outcome = await calls.notify(found as never).then(
        () => 'delivered',
        (error: { code?: string }) => error.code,
      );
      assert.ok(['delivered', 'BAD_REQUEST'].includes(outcome ?? ''), outcome);
      assert.is(received.length, outcome === 'delivered' ? 1 : 0);
    }),
    fixtures.seeded(),
  );
});

suite('without the key nothing is delivered and nothing shown', async () => {
  const { calls, received } = aPeer(false);
  const refused = [calls.notify(NOTE as never), calls.dump()];
  const ends = await Promise.allSettled(refused);
  assert.ok(ends.every(({ status }) => status === 'rejected'));
  assert.equal(received, []);
});

suite.run();
