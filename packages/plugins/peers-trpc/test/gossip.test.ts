/**
 * Guards against a malformed or unauthenticated call that reaches the instance as a gossip message.
 */
import type * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
import * as fastCheck from 'fast-check';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

import * as router from '../src/router.js';

const suite = uvu.suite('gossip messages between instances');

/** A router that collects its messages, and a caller that is authenticated or not. */
function aPeer(isAuthenticated = true) {
  const received: core.messages.GossipMessage[] = [];
  const offered = router.createRouter({
    onGossipMessage: (found) => received.push(found),
    dump: () => ({}),
  });
  return { received, calls: offered.createCaller({ isAuthenticated }) };
}

const MESSAGE = { kind: 'heartbeat', from: 'instance-1', incarnation: 'a', sequence: 1 };

suite('an arbitrary input is either delivered once or rejected as BAD_REQUEST', async () => {
  const input = fastCheck.oneof(fastCheck.jsonValue(), fixtures.nearlyValid(MESSAGE));
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

suite(
  'an unauthenticated call is rejected: no message is delivered and no dump returned',
  async () => {
    const { calls, received } = aPeer(false);
    const refused = [calls.notify(MESSAGE as never), calls.dump()];
    const ends = await Promise.allSettled(refused);
    assert.ok(ends.every(({ status }) => status === 'rejected'));
    assert.equal(received, []);
  },
);

suite.run();
