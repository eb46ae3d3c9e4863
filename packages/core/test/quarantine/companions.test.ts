/** Guards against sound parts that are taken for the cause because they came with a deadly one. */
import * as fixtures from '@medlarweir/core/fixtures';
import * as fastCheck from 'fast-check';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('quarantine: parts that crash together');

function having(part: string, requestId: string) {
  return { requestId, parts: [part] };
}

/** Three crashes by requests with both parts. */
function condemnTogether(fleet: fixtures.QuarantineFleet): void {
  [0, 1, 2].forEach((at) =>
    fleet.crash({ requestId: `both-${at}`, parts: ['sound', 'deadly'] }, 1_000 + at * 500),
  );
}

/** Guards against a sound part that is refused by itself because it came with a deadly one. */
suite('a part that came with a deadly one gets through without it', () => {
  const fleet = fixtures.aQuarantineFleet();
  condemnTogether(fleet);
  const both = { parts: ['sound', 'deadly'] };
  assert.is(fleet.place({ requestId: 'r-1', ...both }, 3_000), 'quarantined');
  fleet.succeed(having('sound', 'r-2'), 3_100);
  assert.match(fleet.place(having('sound', 'r-3'), 3_200), /^u-/);
  assert.is(fleet.place(having('deadly', 'r-4'), 3_300), 'quarantined');
  assert.is(fleet.place({ requestId: 'r-5', ...both }, 100_000), 'quarantined');
});

/** Guards against requests that all try a part whose companions are not known to be sound. */
suite('one of two parts that crash together is tried by one request at a time', () => {
  const fleet = fixtures.aQuarantineFleet();
  condemnTogether(fleet);
  assert.match(fleet.place(having('deadly', 'r-1'), 3_000), /^u-/);
  assert.is(fleet.place(having('deadly', 'r-2'), 3_010), 'one-at-a-time');
});

/** Guards against a deadly part that comes with another companion once the first is known. */
suite('three more crashes without the companion condemn the part by itself', () => {
  const fleet = fixtures.aQuarantineFleet();
  condemnTogether(fleet);
  [0, 1, 2].forEach((at) =>
    fleet.crash({ requestId: `r-${at}`, parts: [`other-${at}`, 'deadly'] }, 3_000 + at * 500),
  );
  assert.is(fleet.place(having('deadly', 'last'), 5_000), 'quarantined');
  assert.match(fleet.place(having('sound', 'later'), 5_000), /^u-/);
});

suite('crashes that a verdict explains count for no other part', () => {
  const fleet = fixtures.aQuarantineFleet();
  const crash = (requestId: string, parts: readonly string[], atMs: number) =>
    fleet.crash({ requestId, parts, clientAccount: requestId }, atMs);
  fixtures.condemn(fleet);
  [0, 1, 2].forEach((at) => crash(`other-account-${at}`, ['deadly', 'beside'], 3_000 + at * 500));
  assert.match(fleet.place(having('beside', 'later'), 5_000), /^u-/);
});

suite('a verdict withdraws only attempts that hold its companions too', () => {
  const fleet = fixtures.aQuarantineFleet();
  fleet.place(having('sound', 'waits'), 0);
  const crashes = [0, 1, 2].flatMap((at) =>
    fleet.crash({ requestId: `both-${at}`, parts: ['sound', 'deadly'] }, 1_000 + at * 500),
  );
  const withdrawn = crashes.filter(
    (each) => each.kind === 'reply' && each.message.type === 'fleet.attempt-withdrawn',
  );
  assert.equal(withdrawn, []);
});

/** Guards against a sound part that is refused by itself because all requests with it held a deadly one. */
suite('a part that only came with a deadly one is served without it', () => {
  fastCheck.assert(
    fastCheck.property(
      fixtures.WORLD_OPTIONS,
      fastCheck.integer({ min: 3, max: 8 }),
      (options, requests) => {
        const quiet = { deadlyShare: 0, deadlyParts: ['deadly-1'], deadlyFromMs: 0 };
        const world = fixtures.aQuarantineWorld({ ...options, ...quiet });
        Array.from({ length: requests }).forEach((_, at) =>
          world.sim.add(1_000 + at * 700, () =>
            world.submit({
              parts: ['subject', 'deadly-1'].sort(() => world.random.below(2) - 0.5),
            }),
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
        fixtures.checkBudget(world, quiet.deadlyParts);
      },
    ),
    fixtures.seeded(30),
  );
});

suite.run();
