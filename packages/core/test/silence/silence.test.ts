/**
 * Guards against an upstream that fails and costs every instance of a large deployment a request, and
 * against one that is taken out of service for all because some instances have lost their own network.
 */
import * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
import * as fastCheck from 'fast-check';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('upstreams that peers have found silent');

type Row = core.silence.types.Row;
type Command = core.fleet.Command;

const UPSTREAMS = Array.from({ length: 6 }, (_, at) => `u-${at}`);
const [FIRST = ''] = UPSTREAMS;
/** By then, no upstream of the fixtures has answered lately. */
const START_MS = 5_000;

function aFleetMember(sharing: core.fleet.peerWork.Sharing, dataCentre = 'dc-1') {
  const listed = UPSTREAMS.map((id) => fixtures.aListedUpstream(id));
  const member = {
    state: { ...fixtures.aFleet(listed, { sharing }), dataCentre },
    nowMs: START_MS,
  };
  const send = (message: core.messages.FleetMessage, afterMs = 0): readonly Command[] => {
    member.nowMs += afterMs;
    const step = core.fleet.decide(member.state, message, fixtures.anInstant(member.nowMs));
    member.state = step.state;
    return step.commands;
  };
  const hear = (from: string, rows: readonly Row[], scope: core.fleet.peerWork.Scope = 'fleet') =>
    send({ type: 'fleet.silence-update', update: { from, scope, rows } });
  const find = (upstream: string, isSilent: boolean) =>
    send({
      type: 'fleet.probe-finished',
      probe: { kind: 'health', upstream, address: `${upstream}:1`, path: '/health' },
      result: isSilent ? { kind: 'no-response' } : { kind: 'healthy', coldMs: undefined },
    });
  const usable = () =>
    UPSTREAMS.filter((id) => {
      const others = UPSTREAMS.filter((each) => each !== id);
      const asked = fixtures.aPlacementRequest({ excludedUpstreams: others });
      const decision = core.fleet.placement.place(
        member.state,
        asked,
        fixtures.anInstant(member.nowMs),
      );
      return decision.kind === 'placed';
    });
  return { member, send, hear, find, usable };
}

function aRow(upstream: string, reporters: Readonly<Record<string, number>>): Row {
  return { upstream, reporters: new Map(Object.entries(reporters)) };
}

function told(commands: readonly Command[]): readonly core.silence.types.Update[] {
  return commands.flatMap((each) => (each.kind === 'send-silence-update' ? [each.update] : []));
}

suite('one that two instances of the own data centre have found gets no request', () => {
  const { hear, usable } = aFleetMember('through-reader');
  hear('reader', [aRow(FIRST, { 'dc-1': 1 })]);
  assert.ok(usable().includes(FIRST), 'one instance may have lost its own network');
  hear('reader', [aRow(FIRST, { 'dc-1': 2 })]);
  assert.equal(usable(), UPSTREAMS.slice(1));
});

suite(
  'what another data centre alone has found excludes nothing: the cut may be between the two',
  () => {
    const { hear, usable } = aFleetMember('through-reader');
    hear('reader', [aRow(FIRST, { 'dc-2': 2 })]);
    assert.equal(usable(), UPSTREAMS);
    hear('reader', [aRow(FIRST, { 'dc-2': 2, 'dc-3': 1 })]);
    assert.not.ok(usable().includes(FIRST));
  },
);

suite('an upstream that has just answered here is used, whatever peers have found', () => {
  const { send, hear, usable } = aFleetMember('through-reader');
  const answered = { upstream: FIRST, requestId: undefined, selfReport: fixtures.signals() };
  send({ type: 'fleet.upstream-responded', ...answered });
  hear('reader', [aRow(FIRST, { 'dc-1': 2 })]);
  assert.ok(usable().includes(FIRST));
  send({ type: 'fleet.tick' }, 1_500);
  hear('reader', [aRow(FIRST, { 'dc-1': 2 })]);
  assert.not.ok(usable().includes(FIRST));
});

suite('it is used again, as a cold one, once peers tell of it no more', () => {
  const { member, hear, usable } = aFleetMember('through-reader');
  hear('reader', [aRow(FIRST, { 'dc-1': 2 })]);
  hear('reader', []);
  assert.ok(usable().includes(FIRST));
  const coldUntilMs = member.state.registry.upstreams.get(FIRST)?.coldUntilMs ?? 0;
  assert.is(coldUntilMs, member.nowMs + fixtures.aService().coldStartMs);
});

/** Guards against an upstream that stays out of service because its reader has gone. */
suite('what a peer told lapses when it tells nothing more', () => {
  const { send, hear, usable } = aFleetMember('through-reader');
  hear('reader', [aRow(FIRST, { 'dc-1': 2 })]);
  send({ type: 'fleet.tick' }, 1_500);
  assert.not.ok(usable().includes(FIRST));
  send({ type: 'fleet.tick' }, 200);
  assert.ok(usable().includes(FIRST));
});

/** Guards against dark upstreams that are used again, as cold ones, whenever a configuration is adopted. */
suite('what peers told is kept while updates are exchanged in the same way', () => {
  const { send, hear, usable } = aFleetMember('through-reader');
  hear('reader', [aRow(FIRST, { 'dc-1': 2 })]);
  send({ type: 'fleet.sharing-changed', sharing: 'through-reader' });
  send({ type: 'fleet.tick' }, 500);
  assert.not.ok(usable().includes(FIRST));
  send({ type: 'fleet.sharing-changed', sharing: 'as-reader' });
  send({ type: 'fleet.tick' }, 500);
  assert.ok(usable().includes(FIRST));
});

suite('a follower tells its reader at once, and repeats it until the upstream answers', () => {
  const { send, find } = aFleetMember('through-reader');
  const [first] = told(find(FIRST, true));
  assert.equal([first?.scope, first?.rows.map(({ upstream }) => upstream)], ['own', [FIRST]]);
  assert.is(told(send({ type: 'fleet.tick' }, 500)).length, 1);
  assert.equal(told(find(FIRST, false))[0]?.rows, []);
  assert.equal(told(send({ type: 'fleet.tick' }, 500)), []);
});

suite('a reader sums up by data centre, and passes on at once only what changes a sum', () => {
  const { hear } = aFleetMember('as-reader');
  hear('instance-2', [aRow(FIRST, { 'dc-1': 1 })], 'own');
  const second = told(hear('instance-3', [aRow(FIRST, { 'dc-1': 1 })], 'own'));
  assert.equal(
    second.map(({ scope, rows }) => [scope, rows[0]?.reporters.get('dc-1')]),
    [
      ['group', 2],
      ['fleet', 2],
    ],
  );
  assert.equal(told(hear('instance-4', [aRow(FIRST, { 'dc-1': 1 })], 'own')), []);
});

suite(
  'an instance that finds most upstreams silent has lost its network, and tells nothing',
  () => {
    const { find } = aFleetMember('through-reader');
    UPSTREAMS.slice(0, 3).forEach((id) => find(id, true));
    const [last] = told(find(UPSTREAMS[3] ?? '', true));
    assert.equal(last?.rows, []);
  },
);

suite('where all instances tell each other directly, each finds out for itself', () => {
  const { find, hear, usable } = aFleetMember('with-all');
  assert.equal(told(find(FIRST, true)), []);
  hear('instance-2', [aRow('u-1', { 'dc-1': 2 })], 'own');
  assert.ok(usable().includes('u-1'));
});

/** Guards against a cut of any one data centre, or any lone instance, that takes upstreams out for the others. */
suite('reports of one lone instance for each of a few upstreams never exclude any', () => {
  const reports = fastCheck.array(
    fastCheck.tuple(fastCheck.constantFrom(...UPSTREAMS), fastCheck.constantFrom('dc-1', 'dc-2')),
    { maxLength: 12 },
  );
  fastCheck.assert(
    fastCheck.property(reports, (given) => {
      const { hear, usable } = aFleetMember('through-reader');
      const byUpstream = new Map(given);
      const rows = [...byUpstream].map(([id, dataCentre]) => aRow(id, { [dataCentre]: 1 }));
      hear('reader', rows);
      assert.equal(usable(), UPSTREAMS);
    }),
    fixtures.seeded(),
  );
});

suite.run();
