/**
 * Guards against unfair shares and against queued requests that are served too late: an account with
 * many requests fills the queue, or capacity disappears while requests wait.
 */
import * as fixtures from '@medlarweir/core/fixtures';
import * as fastCheck from 'fast-check';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('admission');

/** Submits `count` requests of one account, with ids named after it. */
function askMany(admission: fixtures.Admission, clientAccount: string, count: number): void {
  Array.from({ length: count }, (_, at) =>
    admission.ask(`${clientAccount}-${at + 1}`, { clientAccount }),
  );
}

/** Completes `rounds` granted requests one after another, oldest first. */
function serve(admission: fixtures.Admission, rounds: number): void {
  Array.from({ length: rounds }, () => admission.release(admission.granted()[0] ?? ''));
}

function countOf(admission: fixtures.Admission, clientAccount: string): number {
  return admission.granted().filter((id) => id.startsWith(`${clientAccount}-`)).length;
}

suite('a request stays queued until routing reports capacity', () => {
  const admission = fixtures.anAdmission();
  admission.ask('r-1');
  assert.equal(admission.granted(), []);
  admission.reportCapacity(2);
  assert.equal(admission.granted(), ['r-1']);
});

suite('one account may use all free capacity', () => {
  const admission = fixtures.anAdmission({ large: 4, small: 1 });
  admission.reportCapacity(10);
  askMany(admission, 'small', 10);
  assert.is(countOf(admission, 'small'), 10);
});

suite('without free capacity, accounts converge to their shares', () => {
  const admission = fixtures.anAdmission({ large: 4, small: 1 });
  admission.reportCapacity(10);
  askMany(admission, 'small', 60);
  askMany(admission, 'large', 60);
  serve(admission, 30);
  assert.is(countOf(admission, 'large'), 8);
  assert.is(countOf(admission, 'small'), 2);
});

suite('the concurrency limit shrinks to one while no slot is free', () => {
  const admission = fixtures.anAdmission();
  admission.reportCapacity(10);
  Array.from({ length: 100 }, () => admission.reportCapacity(0));
  askMany(admission, 'alpha', 5);
  assert.is(admission.granted().length, 1);
});

suite('a request that would miss its deadline is refused at once, with a retry delay', () => {
  const admission = fixtures.anAdmission();
  admission.reportCapacity(2);
  askMany(admission, 'alpha', 12);
  serve(admission, 2);
  admission.advance(1_000);
  admission.ask('late', { deadlineMs: 1_000 });
  const refusal = admission.refusals.get('late');
  assert.is(refusal?.failure.code, 'deadlineUnreachable');
  assert.ok((refusal?.retryAfterMs ?? 0) >= 1_000);
});

suite('a request still queued at its deadline is refused', () => {
  const admission = fixtures.anAdmission();
  admission.reportCapacity(1);
  admission.ask('first');
  admission.ask('second', { deadlineMs: 2_000 });
  admission.advance(2_500);
  assert.is(admission.refusals.get('second')?.failure.code, 'deadlineUnreachable');
});

suite('a full instance refuses the newest request of the account furthest above its share', () => {
  const admission = fixtures.anAdmission({ large: 4, small: 1 }, 10);
  admission.reportCapacity(2);
  askMany(admission, 'small', 10);
  admission.ask('large-1', { clientAccount: 'large' });
  assert.equal([...admission.refusals.keys()], ['small-10']);
  assert.is(admission.refusals.get('small-10')?.failure.code, 'overloaded');
});

suite('without any upstream, requests are refused after a grace period of five seconds', () => {
  const admission = fixtures.anAdmission();
  admission.reportCapacity(1);
  admission.reportCapacity(0, 0);
  admission.ask('r-1');
  admission.advance(4_500);
  assert.is(admission.refusals.size, 0);
  admission.advance(1_000);
  assert.is(admission.refusals.get('r-1')?.failure.code, 'noUpstream');
  admission.ask('r-2');
  assert.is(admission.refusals.get('r-2')?.failure.code, 'noUpstream');
});

suite('a request that is withdrawn from the queue is never granted', () => {
  const admission = fixtures.anAdmission();
  admission.reportCapacity(1);
  ['first', 'second', 'third'].forEach((id) => admission.ask(id));
  admission.release('second');
  admission.release('first');
  assert.equal(admission.granted(), ['third']);
});

type Action =
  | { kind: 'ask'; account: string }
  | { kind: 'release'; at: number }
  | { kind: 'capacity'; freeSlots: number }
  | { kind: 'wait' };

suite('a granted request is never refused, and grants never exceed the reported capacity', () => {
  const action: fastCheck.Arbitrary<Action> = fastCheck.oneof(
    fastCheck.record({
      kind: fastCheck.constant('ask' as const),
      account: fastCheck.constantFrom('large', 'small'),
    }),
    fastCheck.record({ kind: fastCheck.constant('release' as const), at: fastCheck.nat(20) }),
    fastCheck.record({
      kind: fastCheck.constant('capacity' as const),
      freeSlots: fastCheck.integer({ min: 0, max: 4 }),
    }),
    fastCheck.record({ kind: fastCheck.constant('wait' as const) }),
  );
  fastCheck.assert(
    fastCheck.property(fastCheck.array(action, { maxLength: 60 }), (actions) => {
      const admission = fixtures.anAdmission({ large: 4, small: 1 }, 12);
      const reported = { most: 1 };
      actions.forEach((each, at) => {
        if (each.kind === 'ask') admission.ask(`r-${at}`, { clientAccount: each.account });
        if (each.kind === 'release') admission.release(admission.granted()[each.at] ?? '');
        if (each.kind === 'wait') admission.advance(500);
        if (each.kind === 'capacity') {
          reported.most = Math.max(reported.most, admission.granted().length + each.freeSlots);
          admission.reportCapacity(each.freeSlots);
        }
        assert.ok(admission.granted().length <= reported.most);
        admission.granted().forEach((id) => assert.is(admission.refusals.has(id), false));
      });
    }),
    fixtures.seeded(),
  );
});

suite.run();
