/** The lifecycle of a request that waits for a place at the fleet task. */
import * as fixtures from '@medlarweir/core/fixtures';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('gateway: queued requests');

function aQueuedLifecycle() {
  const given = fixtures.aLifecycle();
  given.send({ type: 'fleet.queued' });
  return given;
}

suite('a queued request is sent when it gets its place, and does not ask again meanwhile', () => {
  const given = aQueuedLifecycle();
  assert.equal(given.send({ type: 'request.timer-fired', timer: 'place' }, 50), []);
  fixtures.placeAttempt(given, 'u-1');
  assert.is(fixtures.countSends(given), 1);
});

suite('a refusal by the fleet task names the assigned time of return', () => {
  const given = aQueuedLifecycle();
  given.send({ type: 'fleet.not-placed', reason: 'full', freeInMs: undefined, retryAfterMs: 700 });
  const [reply] = fixtures.repliesOf(given);
  assert.ok(reply?.type === 'reply.refuse' && reply.status === 503 && reply.retryAfterMs === 700);
  assert.is(given.lifecycle.commands.filter(({ kind }) => kind === 'withdraw-placement').length, 0);
});

/** Guards against places that are given to requests whose callers have gone. */
suite(
  'a request that ends while it waits is withdrawn, at a disconnect and at its deadline',
  () => {
    const ends = [
      { type: 'caller.disconnected' as const },
      { type: 'request.timer-fired' as const, timer: 'deadline' as const },
    ];
    ends.forEach((message) => {
      const commands = aQueuedLifecycle().send(message);
      assert.ok(commands.some(({ kind }) => kind === 'withdraw-placement'));
    });
    const unqueued = fixtures.aLifecycle().send({ type: 'caller.disconnected' });
    assert.ok(!unqueued.some(({ kind }) => kind === 'withdraw-placement'));
  },
);

suite.run();
