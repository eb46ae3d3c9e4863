/**
 * Guards against an instance that reverts to an older generation, adopts an invalid or incomplete
 * one, or trusts one that it could not confirm. Updates from the platform and from peers arrive
 * late, twice, out of order or with gaps.
 */
import * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
import * as fastCheck from 'fast-check';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('adoption of configuration');

type Message = core.messages.ConfigurationMessage;
type State = core.configuration.State;

const EMPTY = core.configuration.initial('instance-1', 'dc-1');

/** Applies a message, and answers a read of a base immediately. */
function apply(state: State, message: Message): State {
  const step = core.configuration.decide(state, message, fixtures.anInstant());
  const read = step.commands.find((each) => each.kind === 'read');
  if (read?.kind !== 'read' || read.what !== 'base') return step.state;
  return apply(step.state, fixtures.aBaseAnswer(read.key));
}

function relayed(generation: number): Message {
  const configuration = fixtures.aConfigurationOfGeneration(generation);
  return { type: 'configuration.relayed', configuration };
}

function relayedChange(generation: number): Message {
  return { type: 'configuration.changes-relayed', changes: [fixtures.aChange(generation)] };
}

const update = fastCheck.oneof(
  fastCheck.integer({ min: 1, max: 40 }).map(relayed),
  fastCheck.integer({ min: 1, max: 40 }).map(fixtures.aHeadChange),
  fastCheck.integer({ min: 1, max: 40 }).map(relayedChange),
);

function generationOf(message: Message): number {
  if (message.type === 'configuration.relayed') {
    return (message.configuration as core.configuration.Configuration).generation;
  }
  if (message.type !== 'platform.watch-updated') return 0;
  return (message.objects[0]?.value as core.configuration.heads.Head).generation;
}

suite('updates in any order never revert the generation or adopt an incomplete one', () => {
  fastCheck.assert(
    fastCheck.property(fastCheck.array(update, { maxLength: 30 }), (all) => {
      const final = all.reduce((state, message) => {
        const next = apply(state, message);
        const before = state.current?.generation ?? 0;
        const after = next.current?.generation ?? 0;
        assert.ok(after >= before);
        if (after > 0) assert.equal(next.current, fixtures.aConfigurationOfGeneration(after));
        return next;
      }, EMPTY);
      const highest = Math.max(0, ...all.map(generationOf));
      assert.ok((final.current?.generation ?? 0) >= highest);
    }),
    fixtures.seeded(),
  );
});

suite('keeps the last valid configuration when an invalid one arrives', () => {
  const valid = apply(EMPTY, fixtures.aHeadChange(3));
  const invalid: Message = {
    type: 'configuration.relayed',
    configuration: { generation: 9, upstreams: 'none' },
  };
  const step = core.configuration.decide(valid, invalid, fixtures.anInstant());
  assert.is(step.state.current?.generation, 3);
  assert.is(step.commands[0]?.kind, 'record-refused');
});

suite('a diff applied to the older configuration gives the newer one', () => {
  const entry = fastCheck.record({
    name: fastCheck.constantFrom('a', 'b', 'c', 'd'),
    share: fastCheck.integer({ min: 1, max: 3 }),
  });
  const accounts = fastCheck.uniqueArray(entry, { selector: ({ name }) => name });
  fastCheck.assert(
    fastCheck.property(accounts, accounts, (before, after) => {
      const from = fixtures.aConfiguration({
        clientAccounts: before.map(fixtures.aClientAccount),
      });
      const to = fixtures.aConfiguration({
        generation: 2,
        clientAccounts: after.map(fixtures.aClientAccount),
      });
      const edits = [...core.configuration.diff(from, to)];
      const change = { id: 'change-2', generation: 2, edits, by: '', atMs: 0, why: '' };
      const applied = core.configuration.applyChanges(from, [change]);
      assert.ok(applied.isOk());
      const sorted = (given: core.configuration.Configuration) => ({
        ...given,
        clientAccounts: [...given.clientAccounts].sort((a, b) => (a.name < b.name ? -1 : 1)),
      });
      if (applied.isOk()) assert.equal(sorted(applied.value), sorted(to));
    }),
    fixtures.seeded(),
  );
});

type Row = { name: string; messages: readonly (readonly [number, Message])[]; expected: string };

const CONFIRMED: Message = {
  type: 'platform.watch-updated',
  prefix: 'x',
  objects: [],
  removed: [],
  isSnapshot: false,
  askedAt: fixtures.anInstant(),
  unchangedAt: fixtures.anInstant(),
};
const TICK: Message = { type: 'configuration.tick' };

function peerConfirmed(generation: number, ageMs: number): Message {
  return { type: 'configuration.peer-confirmed', from: 'instance-2', generation, ageMs };
}

const CONFIRMATION_STATUSES: readonly Row[] = [
  { name: 'directly after a start', messages: [[0, TICK]], expected: 'unconfirmed' },
  {
    name: 'just adopted from the platform',
    messages: [
      [0, fixtures.aHeadChange(2)],
      [2_999, TICK],
    ],
    expected: 'confirmed',
  },
  {
    name: 'last confirmation more than 3 s ago',
    messages: [
      [0, fixtures.aHeadChange(2)],
      [3_001, TICK],
    ],
    expected: 'unconfirmed',
  },
  {
    name: 'confirmed again by a watch',
    messages: [
      [0, fixtures.aHeadChange(2)],
      [3_001, TICK],
      [3_500, CONFIRMED],
    ],
    expected: 'confirmed',
  },
  {
    name: 'adopted from a peer only',
    messages: [
      [0, relayed(2)],
      [100, TICK],
    ],
    expected: 'unconfirmed',
  },
  {
    name: 'fresh confirmation from a peer',
    messages: [
      [0, relayed(2)],
      [100, peerConfirmed(2, 500)],
    ],
    expected: 'confirmed',
  },
  {
    name: 'confirmation from a peer that is more than 3 s old',
    messages: [
      [0, relayed(2)],
      [100, peerConfirmed(2, 3_001)],
    ],
    expected: 'unconfirmed',
  },
  {
    name: 'confirmation of an older generation from a peer',
    messages: [
      [0, relayed(2)],
      [100, peerConfirmed(1, 0)],
    ],
    expected: 'unconfirmed',
  },
  {
    name: 'a watch answers while a base is still being read',
    messages: [
      [0, fixtures.aHeadChange(2)],
      [0, fixtures.aHeadChange(40)],
      [3_500, CONFIRMED],
      [3_600, TICK],
    ],
    expected: 'unconfirmed',
  },
];

CONFIRMATION_STATUSES.forEach(({ name, messages, expected }) => {
  suite(`confirmation status: ${name}`, () => {
    const isBaseDelayed = name.includes('still being read');
    const final = messages.reduce((state, [atMs, message]) => {
      const step = core.configuration.decide(state, message, fixtures.anInstant(atMs));
      const read = step.commands.find((each) => each.kind === 'read');
      const isAnswered = read?.kind === 'read' && read.what === 'base';
      if (!isAnswered || (isBaseDelayed && state.current)) return step.state;
      return core.configuration.decide(
        step.state,
        fixtures.aBaseAnswer(read.key),
        fixtures.anInstant(atMs),
      ).state;
    }, EMPTY);
    assert.is(final.confirmationStatus, expected);
  });
});

suite('a start during an outage asks peers and seeds, and adopts the highest generation', () => {
  const step = core.configuration.decide(EMPTY, TICK, fixtures.anInstant());
  const asked = step.commands.filter((each) => each.kind === 'request');
  assert.ok(asked.some((each) => each.kind === 'request' && each.to === 'seeds'));
  const final = [relayed(4), relayed(7), relayed(5)].reduce(apply, step.state);
  assert.is(final.current?.generation, 7);
});

suite('a confirmation of a newer generation from a peer requests the missing changes', () => {
  const behind = apply(EMPTY, fixtures.aHeadChange(2));
  const step = core.configuration.decide(behind, peerConfirmed(5, 0), fixtures.anInstant());
  assert.equal(step.commands, [{ kind: 'request', to: ['instance-2'], generation: 2 }]);
});

suite.run();
