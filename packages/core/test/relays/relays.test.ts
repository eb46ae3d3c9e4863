/**
 * Guards against requests that reach a second instance though the first may have run them, and against peers
 * that cost each request a time-out: those that are cut off themselves, gone, or frozen.
 */
import type * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('requests through other instances');

type Result = core.gateway.attemptResult.Result;

const CUT_OFF: Result = { kind: 'rejected', status: 421 };
const UNREACHABLE: Result = { kind: 'unsent', reason: 'unreachable', detail: 'refused' };
const NEAR = ['instance-2', 'instance-3', 'instance-4', 'instance-5'].map((name) =>
  fixtures.aPeer(name),
);
const FAR = fixtures.aPeer('instance-9', { dataCentre: 'dc-2' });
const IDS = Array.from({ length: 40 }, (_, at) => `request-${at}`);

function endsOf({ replies }: ReturnType<typeof fixtures.aRelays>) {
  return replies.received.flatMap((each) => (each.type === 'relay.ended' ? [each.end] : []));
}

suite('requests are spread over the peers of the own data centre', () => {
  const relays = fixtures.aRelays([fixtures.aPeer('instance-1'), ...NEAR, FAR]);
  const asked = new Set(IDS.map((id) => relays.begin(id)));
  assert.equal(
    [...asked].sort(),
    NEAR.map(({ name }) => name),
  );
});

suite('instances of releases without an address for callers are not asked', () => {
  const relays = fixtures.aRelays([fixtures.aPeer('instance-2', { callers: undefined })]);
  assert.is(relays.begin('request-1'), undefined);
  assert.is(endsOf(relays)[0]?.kind, 'not-run');
});

[CUT_OFF, UNREACHABLE].forEach((result) => {
  suite(`${result.kind}: the next peer is asked, and this one not again for a second`, () => {
    const relays = fixtures.aRelays([...NEAR, FAR]);
    const first = relays.begin('request-1');
    const second = relays.end('request-1', result);
    assert.ok(second !== undefined && second !== first);
    assert.not.ok(IDS.map((id) => relays.begin(id)).includes(first));
    assert.is(relays.skipped().length, 1);
    assert.ok(IDS.map((id) => relays.begin(`${id}-later`, 50)).includes(first));
  });
});

suite('the other data centres are asked when none is left in the own one', () => {
  const relays = fixtures.aRelays([fixtures.aPeer('instance-2'), FAR]);
  assert.is(relays.begin('request-1'), 'instance-2');
  assert.is(relays.end('request-1', CUT_OFF), 'instance-9');
});

suite('at most three peers are asked; the request has not run', () => {
  const relays = fixtures.aRelays(NEAR);
  relays.begin('request-1');
  assert.ok(relays.end('request-1', CUT_OFF));
  assert.ok(relays.end('request-1', UNREACHABLE));
  assert.is(relays.end('request-1', CUT_OFF), undefined);
  assert.equal(
    endsOf(relays).map(({ kind }) => kind),
    ['not-run'],
  );
});

suite('no further peer is asked without time for it', () => {
  const relays = fixtures.aRelays(NEAR);
  relays.begin('request-1');
  assert.is(relays.end('request-1', CUT_OFF, 2_980), undefined);
  assert.is(endsOf(relays)[0]?.kind, 'not-run');
});

suite('a request that may have run reaches no second peer', () => {
  const unsealed = fixtures.anAnsweredAttempt(200, false);
  [fixtures.BROKEN_ATTEMPT, unsealed].forEach((result) => {
    const relays = fixtures.aRelays(NEAR);
    relays.begin('request-1');
    assert.is(relays.end('request-1', result), undefined);
    assert.is(endsOf(relays)[0]?.kind, 'broken');
  });
});

suite('a refusal by the peer is its answer, and no other peer is asked', () => {
  [400, 401, 408, 422, 429, 503].forEach((status) => {
    const relays = fixtures.aRelays(NEAR);
    relays.begin('request-1');
    assert.is(relays.end('request-1', fixtures.anAnsweredAttempt(status, false)), undefined);
    const [end] = endsOf(relays);
    assert.ok(end?.kind === 'answered' && end.head.status === status);
  });
});

suite('a peer that owes heads and is silent is asked last', () => {
  const relays = fixtures.aRelays(NEAR.slice(0, 2));
  const frozen = relays.begin('first');
  const asked = IDS.map((id) => relays.begin(id, id === 'request-0' ? 1_600 : 0));
  assert.not.ok(asked.includes(frozen));
  assert.equal(relays.skipped(), [`${frozen ?? ''} owing`]);
  assert.is(relays.end('request-0', CUT_OFF), frozen, 'the only one that may still answer');
});

suite('a peer that answers others meanwhile does not count as frozen', () => {
  const relays = fixtures.aRelays([fixtures.aPeer('instance-2'), FAR]);
  relays.begin('slow');
  relays.begin('quick', 1_000);
  relays.send({ type: 'relays.peer-answered', relay: 'quick' }, 100);
  assert.is(relays.begin('request-1', 1_000), 'instance-2');
  assert.equal(relays.skipped(), []);
});

suite('callers that give up early show a frozen peer as well', () => {
  const relays = fixtures.aRelays([fixtures.aPeer('instance-2'), FAR]);
  relays.begin('request-1');
  const commands = relays.send({ type: 'relays.abort', relay: 'request-1' }, 800);
  assert.ok(commands.some(({ kind }) => kind === 'abort'));
  assert.is(relays.begin('request-2'), 'instance-9');
  assert.is(relays.begin('request-3', 1_100), 'instance-2');
});

suite('what comes of an aborted request is dropped', () => {
  const relays = fixtures.aRelays(NEAR);
  relays.begin('request-1');
  relays.send({ type: 'relays.abort', relay: 'request-1' });
  assert.is(relays.end('request-1', CUT_OFF), undefined);
  assert.equal(endsOf(relays), []);
});

suite.run();
