/**
 * Guards against a request that runs twice, is falsely reported as not run, or loses its recorded
 * outcome. Random sequences of retries, paused and killed instances, and platform faults are run
 * against the real decisions.
 */
import * as fixtures from '@medlarweir/core/fixtures';
import * as fastCheck from 'fast-check';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('claims of several instances');

const INSTANCES = 3;
const START_WALL_MS = fixtures.anInstant().wallMs;
/** Two keys of one page, one of the next, and two without a timestamp. */
const KEYS = [
  fixtures.aUuidV7(START_WALL_MS, 1),
  fixtures.aUuidV7(START_WALL_MS, 2),
  fixtures.aUuidV7(START_WALL_MS + 1_000, 3),
  'order-1',
  'order-2',
];
const FAULTS: readonly fixtures.PlatformFault[] = ['none', 'outage', 'lost-answers', 'late-writes'];
/** Longer than any attempt takes to lapse. */
const QUIET_MS = 60_000;

type Move =
  | { kind: 'send'; at: number; key: string }
  | { kind: 'pause' | 'wake' | 'kill'; at: number }
  | { kind: 'platform'; fault: fixtures.PlatformFault }
  | { kind: 'wait'; ms: number };
type Model = { kills: number };
type Real = { fleet: fixtures.ClaimsFleet; callers: fixtures.KeyedCallers };

function aCommand(move: Move): fastCheck.Command<Model, Real> {
  return {
    check: () => true,
    run(model, real) {
      if (move.kind === 'kill') Object.assign(model, { kills: model.kills + 1 });
      act(real, move);
      assert.equal(real.callers.violations, []);
    },
    toString: () => JSON.stringify(move),
  };
}

function act({ fleet, callers }: Real, move: Move): void {
  switch (move.kind) {
    case 'send':
      callers.send(move.at, move.key);
      return;
    case 'pause':
      fleet.pause(move.at);
      return;
    case 'wake':
      fleet.resume(move.at);
      return;
    case 'kill':
      callers.kill(move.at);
      return;
    case 'platform':
      fleet.setFault(move.fault);
      return;
    case 'wait':
      fleet.advance(move.ms);
      return;
    default:
      throw new Error('unexpected move');
  }
}

/** Ends all faults, lets every attempt lapse, and retries each key at each instance. */
function settle({ kills }: Model, { fleet, callers }: Real): void {
  fleet.setFault('none');
  for (let at = 0; at < INSTANCES; at += 1) fleet.resume(at);
  fleet.advance(QUIET_MS);
  KEYS.forEach((key) => {
    for (let at = 0; at < INSTANCES; at += 1) {
      callers.send(at, key);
      fleet.advance(QUIET_MS);
    }
    const last = callers.answersFor(key).at(-1)?.kind;
    const expected = kills > 0 ? ['recorded', 'outcome-unknown'] : ['recorded'];
    assert.ok(expected.includes(last ?? ''), `${key}: ${last} after ${kills} kills`);
  });
  assert.equal(callers.violations, []);
}

const at = fastCheck.nat(INSTANCES - 1);
const moves = fastCheck.commands(
  [
    fastCheck
      .record({ at, key: fastCheck.constantFrom(...KEYS) })
      .map((given) => aCommand({ kind: 'send', ...given })),
    fastCheck
      .record({
        at,
        kind: fastCheck.constantFrom('pause' as const, 'wake' as const, 'kill' as const),
      })
      .map((given) => aCommand(given)),
    fastCheck.constantFrom(...FAULTS).map((fault) => aCommand({ kind: 'platform', fault })),
    fastCheck
      .constantFrom(1, 5, 20, 100, 700, 2_500, 6_000, 20_000)
      .map((ms) => aCommand({ kind: 'wait', ms })),
  ],
  { maxCommands: 40, size: 'max' },
);

suite('requests run at most once, are never falsely "not run" and keep their outcomes', () => {
  fastCheck.assert(
    fastCheck.property(moves, fastCheck.boolean(), (chosen, hasPeers) => {
      const fleet = fixtures.aClaimsFleet({ instances: INSTANCES, hasPeers });
      const model: Model = { kills: 0 };
      const real: Real = { fleet, callers: fixtures.keyedCallers(fleet) };
      fastCheck.modelRun(() => ({ model, real }), chosen);
      settle(model, real);
    }),
    fixtures.seeded(1_500),
  );
});

suite.run();
