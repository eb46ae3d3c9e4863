/** Attempts that wait at an upstream until its weights have been replaced for too long. */
import * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('gateway: withdrawal of attempts');

const BEGIN_BY = fixtures.anInstant(1_000);
const RESUMABLE = { responseMode: 'stream', retryPolicy: 'resumable', maxRuns: 2 } as const;

/** A request at an upstream where it may begin for another second, when its timer has fired. */
function aWaitingRequest(route: Partial<core.gateway.routes.Route>) {
  const given = fixtures.aLifecycle({ timeoutMs: 15_000, ...route });
  const armed = fixtures.placeAttempt(given, 'u-1', { beginBy: BEGIN_BY });
  const delayMs = armed.flatMap((each) =>
    each.kind === 'schedule' && each.timer === 'begin' ? [each.delayMs] : [],
  );
  return { ...given, delayMs: delayMs[0] ?? 0 };
}

function fireTimer({ send, delayMs }: ReturnType<typeof aWaitingRequest>) {
  return send({ type: 'request.timer-fired', timer: 'begin' }, delayMs);
}

function answerCheck(
  given: fixtures.Lifecycle,
  beginBy: core.kernel.Instant | undefined,
): readonly core.gateway.lifecycleState.Command[] {
  return given.send({ type: 'fleet.begin-checked', attempt: fixtures.attemptOf(given), beginBy });
}

/** Guards against a request that begins on replaced weights after the bound since it waited longer than expected. */
suite('a request that has not begun shortly before the bound goes to another upstream', () => {
  const given = aWaitingRequest(RESUMABLE);
  assert.ok(given.delayMs > 0 && given.delayMs < BEGIN_BY.monotonicMs);
  assert.ok(fireTimer(given).some(({ kind }) => kind === 'check-begin'));
  const withdrawn = answerCheck(given, BEGIN_BY);
  assert.ok(withdrawn.some(({ kind }) => kind === 'abort'));
  const [placed] = given.send({ type: 'retry-budget.decided', isGranted: true });
  assert.ok(placed?.kind === 'place' && placed.excluded.includes('u-1'));
});

/** Guards against a second run, or a false "not run": the upstream may have begun as it was withdrawn. */
suite('a withdrawn request that may run once is answered as possibly run', () => {
  const given = aWaitingRequest({ responseMode: 'stream' });
  fireTimer(given);
  answerCheck(given, BEGIN_BY);
  const [reply] = fixtures.repliesOf(given);
  assert.ok(reply?.type === 'reply.refuse' && reply.status === 502);
  assert.is(fixtures.countSends(given), 1);
});

suite(
  'a request that has begun stays, and so does one whose upstream has the newest weights',
  () => {
    const begun = aWaitingRequest(RESUMABLE);
    const head = fixtures.aResponseHead();
    begun.send({ type: 'attempt.head-received', attempt: fixtures.attemptOf(begun), head });
    assert.equal(fireTimer(begun), []);
    const loaded = aWaitingRequest(RESUMABLE);
    fireTimer(loaded);
    assert.ok(answerCheck(loaded, undefined).every(({ kind }) => kind === 'schedule'));
  },
);

/** Guards against a whole answer that is given up while it arrives: only a stream tells when it begins. */
suite('a request whose answer comes whole is not withdrawn', () => {
  assert.is(aWaitingRequest({ responseMode: 'whole' }).delayMs, 0);
});

/** Guards against an upstream that is avoided for a request that this process held for too long. */
suite('a request that is not sent since its time is over is no fault of its upstream', () => {
  const given = aWaitingRequest(RESUMABLE);
  const end = { kind: 'unsent', reason: 'weights-expired', detail: '' } as const;
  const commands = given.send({ type: 'attempt.ended', attempt: fixtures.attemptOf(given), end });
  const [report] = commands.filter(({ kind }) => kind === 'report');
  assert.ok(report?.kind === 'report' && report.outcome === 'cancelled');
});

suite('the fleet tells until when a request may begin at an upstream', () => {
  const named = core.rollouts.targets.create(2, fixtures.anInstant());
  const listed = [1, 2].map((version) =>
    fixtures.aListedUpstream(`u-${version}`, { models: [{ model: 'model-1', version }] }),
  );
  const state = fixtures.aFleet(listed, { targetVersions: new Map([['model-1', named]]) });
  const checkOf = (upstream: string) => {
    const replyTo = fixtures.aMailbox<core.messages.RequestMessage>();
    const check = { attempt: 'a', upstream, model: 'model-1', replyTo };
    const now = fixtures.anInstant(3_000);
    const step = core.fleet.decide(state, { type: 'fleet.check-begin', ...check }, now);
    const [reply] = step.commands;
    assert.ok(reply?.kind === 'reply' && reply.message.type === 'fleet.begin-checked');
    return reply.message.beginBy;
  };
  assert.equal(checkOf('u-1'), fixtures.anInstant(fixtures.FLEET_BOUNDS.rolloutMs));
  assert.is(checkOf('u-2'), undefined);
});

suite.run();
