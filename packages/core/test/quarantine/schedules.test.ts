/**
 * Guards, on random schedules of troubles, against deadly parts that go on crashing upstreams and
 * against sound parts that are shut out. The model knows which parts are deadly.
 */
import * as fixtures from '@medlarweir/core/fixtures';
import * as fastCheck from 'fast-check';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('quarantine: random schedules');

/** What the instances may know of a crash is known everywhere after this time. */
const CONTACT_MS = 3_000;
const CRASHES_UNTIL_BUDGET = 5;
const MAX_LATE_REQUESTS = 3;
const HORIZON_MS = 30_000;

type World = fixtures.World;
type Kind =
  | 'crash'
  | 'data-centre'
  | 'release'
  | 'reset'
  | 'freeze-upstream'
  | 'freeze-instance'
  | 'kill-instance'
  | 'kill-all'
  | 'store-away';
type Trouble = { kind: Kind; atMs: number; which: number; forMs: number };

function cause(world: World, { kind, which, forMs }: Trouble): void {
  const upstream = world.upstreams.all[which % world.upstreams.all.length];
  const instance = world.instances.all[which % world.instances.all.length];
  if (!upstream || !instance) return;
  world.note(`${kind} ${upstream.id} ${instance.name}`);
  switch (kind) {
    case 'crash':
      world.upstreams.crash(upstream);
      return;
    case 'data-centre':
      world.upstreams.crashDataCentre(upstream.dataCentre);
      return;
    case 'release':
      world.upstreams.release(upstream);
      return;
    case 'reset':
      world.upstreams.reset(upstream);
      return;
    case 'freeze-upstream':
      world.upstreams.freeze(upstream, forMs);
      return;
    case 'freeze-instance':
      world.instances.freeze(instance, forMs);
      return;
    case 'kill-instance':
      world.instances.kill(instance);
      return;
    case 'kill-all':
      world.instances.all.forEach(world.instances.kill);
      return;
    case 'store-away':
      world.instances.setStoreAway(true);
      world.sim.add(forMs, () => world.instances.setStoreAway(false));
      return;
    default:
      throw new Error(kind satisfies never);
  }
}

function aTrouble(kinds: readonly Kind[]): fastCheck.Arbitrary<Trouble> {
  return fastCheck.record({
    kind: fastCheck.constantFrom(...kinds),
    atMs: fastCheck.nat(HORIZON_MS),
    which: fastCheck.nat(20),
    forMs: fastCheck.integer({ min: 1_000, max: 8_000 }),
  });
}

const KINDS: readonly Kind[] = [
  'crash',
  'data-centre',
  'release',
  'reset',
  'freeze-upstream',
  'freeze-instance',
  'kill-instance',
  'store-away',
];

const OPTIONS = fastCheck.record({
  seed: fastCheck.nat(),
  instances: fastCheck.integer({ min: 2, max: 7 }),
  upstreams: fastCheck.integer({ min: 6, max: 18 }),
  requestsPerS: fastCheck.integer({ min: 20, max: 60 }),
  lossShare: fastCheck.constantFrom(0, 0.05, 0.3),
  rareParts: fastCheck.constantFrom(20, 400, 2_000),
  burstShare: fastCheck.constantFrom(0, 0.05),
  sendsHeads: fastCheck.boolean(),
});

const SHARE = fastCheck.constantFrom(0.005, 0.02, 0.05, 0.1, 0.2);

function play(
  options: fixtures.WorldOptions,
  troubles: readonly Trouble[],
  horizonMs = HORIZON_MS,
) {
  const world = fixtures.aQuarantineWorld(options);
  troubles.forEach((trouble) => world.sim.add(trouble.atMs, () => cause(world, trouble)));
  world.traffic();
  world.sim.advance(horizonMs);
  return world;
}

/** Requests with the part that reached an upstream later than allowed after the fifth crash. */
function lateSends({ results }: World, part: string): number {
  const fifthAtMs = results.crashes.get(part)?.[CRASHES_UNTIL_BUDGET - 1] ?? Infinity;
  return results.sends.filter(
    (each) => each.part === part && !each.isFresh && each.atMs > fifthAtMs + CONTACT_MS,
  ).length;
}

function checkBudget(world: World, parts: readonly string[]): void {
  parts.forEach((part) => {
    const late = lateSends(world, part);
    assert.ok(late <= MAX_LATE_REQUESTS, `${late} late with ${part}\n${world.log.join('\n')}`);
  });
}

suite('after the fifth crash, at most three more requests with a deadly part are sent', () => {
  fastCheck.assert(
    fastCheck.property(
      OPTIONS,
      SHARE,
      fastCheck.boolean(),
      fastCheck.constantFrom(0, 8_000),
      fastCheck.array(aTrouble(KINDS), { maxLength: 5 }),
      (options, deadlyShare, areTwo, deadlyFromMs, troubles) => {
        const deadlyParts = areTwo ? ['deadly-1', 'deadly-2'] : ['deadly-1'];
        const world = play({ ...options, deadlyShare, deadlyParts, deadlyFromMs }, troubles);
        checkBudget(world, deadlyParts);
      },
    ),
    fixtures.seeded(60),
  );
});

/**
 * Guards against a small fleet that is down as a whole after two counted crashes: whoever waits meets at the
 * first upstream that is back. Found by the property above with seed 901.
 */
suite('the bound holds where all upstreams are down between two counted crashes', () => {
  const deadly = { deadlyShare: 0.2, deadlyParts: ['deadly-1'], deadlyFromMs: 0 };
  const fleet = { instances: 2, upstreams: 7, requestsPerS: 22, lossShare: 0.3 };
  const world = { seed: 673_001_910, rareParts: 2_000, burstShare: 0, sendsHeads: false };
  const options = { ...deadly, ...fleet, ...world };
  const trouble: Trouble = { kind: 'data-centre', atMs: 0, which: 1, forMs: 1_000 };
  checkBudget(play(options, [trouble]), options.deadlyParts);
});

suite('the bound holds when all instances are killed at once', () => {
  fastCheck.assert(
    fastCheck.property(OPTIONS, SHARE, aTrouble(['kill-all']), (options, deadlyShare, trouble) => {
      const deadlyParts = ['deadly-1'];
      const world = play({ ...options, deadlyShare, deadlyParts, deadlyFromMs: 0 }, [trouble]);
      checkBudget(world, deadlyParts);
    }),
    fixtures.seeded(30),
  );
});

/** Guards against instances that forget their counted crashes. Found by the property above with seed 905. */
suite('the bound holds where seven instances are killed before six upstreams', () => {
  const deadly = { deadlyShare: 0.2, deadlyParts: ['deadly-1'], deadlyFromMs: 0 };
  const fleet = { instances: 7, upstreams: 6, requestsPerS: 22, lossShare: 0.3 };
  const world = { seed: 1_872_857_509, rareParts: 2_000, burstShare: 0, sendsHeads: false };
  const trouble: Trouble = { kind: 'kill-all', atMs: 4_513, which: 0, forMs: 1_000 };
  checkBudget(play({ ...deadly, ...fleet, ...world }, [trouble]), deadly.deadlyParts);
});

suite('troubles without a deadly part lead to no verdict', () => {
  fastCheck.assert(
    fastCheck.property(
      OPTIONS,
      fastCheck.array(aTrouble([...KINDS, 'kill-all']), { maxLength: 25 }),
      (options, troubles) => {
        const quiet = { deadlyShare: 0, deadlyParts: [], deadlyFromMs: 0 };
        const world = play({ ...options, ...quiet }, troubles);
        assert.equal(world.results.soundVerdicts, [], world.log.join('\n'));
      },
    ),
    fixtures.seeded(60),
  );
});

suite('beside a deadly part, no sound part stays shut out', () => {
  fastCheck.assert(
    fastCheck.property(
      OPTIONS,
      SHARE,
      fastCheck.array(aTrouble(KINDS), { maxLength: 5 }),
      (options, deadlyShare, troubles) => {
        const deadlyParts = ['deadly-1'];
        const world = play(
          { ...options, requestsPerS: 25, deadlyShare, deadlyParts, deadlyFromMs: 0 },
          troubles,
          150_000,
        );
        const { soundVerdicts, answered, refused } = world.results;
        soundVerdicts.forEach(({ part, atMs }) => {
          const triedAtMs = refused.find((each) => each.part === part && each.atMs > atMs + 66_000);
          const hasAnswer = answered.get(part)?.some((each) => each > atMs) ?? false;
          assert.ok(!triedAtMs || hasAnswer, `${part} is shut out\n${world.log.join('\n')}`);
        });
      },
    ),
    fixtures.seeded(15),
  );
});

suite('innocent requests whose parts got through are placed again once', () => {
  fastCheck.assert(
    fastCheck.property(OPTIONS, SHARE, (options, deadlyShare) => {
      const given = {
        ...options,
        rareParts: 5,
        burstShare: 0,
        deadlyParts: ['deadly-1'],
        deadlyFromMs: 8_000,
      };
      const world = play({ ...given, deadlyShare }, []);
      const innocent = world.results.placedAgain.filter(({ isInnocent }) => isInnocent);
      const refused = innocent.filter(({ reason }) => reason !== 'placed');
      assert.equal(refused, [], world.log.join('\n'));
    }),
    fixtures.seeded(30),
  );
});

/** Guards against an account that names a part of another in its own requests that crash. */
suite('an account shuts out no part of another by naming it', () => {
  fastCheck.assert(
    fastCheck.property(OPTIONS, SHARE, (options, share) => {
      const quiet = { deadlyShare: 0, deadlyParts: ['deadly-1'], deadlyFromMs: 0 };
      const world = fixtures.aQuarantineWorld({ ...options, ...quiet });
      const attack = (): void => {
        world.submit({ clientAccount: 'attacker', parts: ['of-victim', 'deadly-1'] });
        world.sim.add(200 + world.random.below(2_000 * share * 5), attack);
      };
      const use = (): void => {
        world.submit({ clientAccount: 'victim', parts: ['of-victim'] });
        world.sim.add(4_000, use);
      };
      world.sim.add(0, attack);
      world.sim.add(12_000, use);
      world.sim.advance(40_000);
      const refused = world.results.refused.filter((each) => each.clientAccount === 'victim');
      assert.equal(refused, [], world.log.join('\n'));
      assert.ok((world.results.answered.get('of-victim')?.length ?? 0) >= 5, world.log.join('\n'));
    }),
    fixtures.seeded(30),
  );
});

/** Guards against a sound part that is refused by itself because all requests with it held a deadly one. */
suite('a part that only came with a deadly one is served without it', () => {
  fastCheck.assert(
    fastCheck.property(OPTIONS, fastCheck.integer({ min: 3, max: 8 }), (options, requests) => {
      const quiet = { deadlyShare: 0, deadlyParts: ['deadly-1'], deadlyFromMs: 0 };
      const world = fixtures.aQuarantineWorld({ ...options, ...quiet });
      Array.from({ length: requests }).forEach((_, at) =>
        world.sim.add(1_000 + at * 700, () =>
          world.submit({ parts: ['subject', 'deadly-1'].sort(() => world.random.below(2) - 0.5) }),
        ),
      );
      const use = (): void => {
        world.submit({ parts: ['subject'] });
        world.sim.add(250, use);
      };
      world.sim.add(14_000, use);
      world.sim.advance(40_000);
      const denied = world.results.refused.filter(
        ({ part, atMs }) => part === 'subject' && atMs > 14_000,
      );
      assert.equal(denied, [], world.log.join('\n'));
      assert.ok((world.results.answered.get('subject')?.length ?? 0) > 50, world.log.join('\n'));
      checkBudget(world, quiet.deadlyParts);
    }),
    fixtures.seeded(30),
  );
});

suite.run();
