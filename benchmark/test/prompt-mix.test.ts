/** Guards against prompts of one size that starve behind those of another within their rank. */
import * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
import * as fc from 'fast-check';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

import * as timeline from '../src/models/timeline.js';
import * as engines from '../src/prompt-mix/engine.js';
import * as loads from '../src/prompt-mix/load.js';
import * as randomness from '../src/models/randomness.js';

const suite = uvu.suite('prompt mix: no size starves');

type Kind = engines.Kind;
type Offered = { seed: number; shortLoad: number; longLoad: number };
type TurnOf = (plan: core.promptMix.plan.Plan) => core.promptMix.priority.Turn;

const UPSTREAM = 'u-0';
const RANK = 5;
const LASTS_MS = 20_000;
const DEADLINE_MS = 5_000;
/** Tokens that the model's engine prefills per ms, steps included. */
const TOKENS_PER_MS = 45;
const SHORT_MS = 20;

/** Counts of prompts of each kind that arrived and were served within the deadline. */
type Served = Record<Kind, { arrived: number; served: number }>;

function aPlan(kind: Kind, shortPerMs: number): core.promptMix.plan.Plan {
  const mix = core.promptMix.state.create(0);
  mix.levels.set(UPSTREAM, { short: shortPerMs * SHORT_MS, long: 1 });
  Object.assign(mix.means.short, {
    residenceMs: SHORT_MS,
    unreadTokens: loads.SIZES.short.ownTokens,
  });
  const preferred = { first: new Set([UPSTREAM]), further: new Set([UPSTREAM]) };
  return { kind, mix, preferred, ownTokens: loads.SIZES[kind].ownTokens, partPerMs: 0 };
}

/** Plays one engine whose prompts all have one rank. */
function play({ seed, shortLoad, longLoad }: Offered, turnOf: TurnOf): Served {
  const time = timeline.create();
  const { memoryTokens, tokensPerMs } = loads.SITES.hpc;
  const shape = { slots: 64, queue: 192, memoryTokens, tokensPerMs, slowdownAt: () => 1 };
  const engine = engines.create(time, shape);
  const served: Served = { short: { arrived: 0, served: 0 }, long: { arrived: 0, served: 0 } };
  const perMs = {
    short: (shortLoad * TOKENS_PER_MS) / loads.SIZES.short.ownTokens,
    long: (longLoad * TOKENS_PER_MS) / loads.SIZES.long.ownTokens,
  };
  (['short', 'long'] as const).forEach((kind, which) => {
    const random = randomness.create(seed + which);
    const { sharedTokens, ownTokens, outputTokens } = loads.SIZES[kind];
    const send = (nowMs: number, id: string) => {
      served[kind].arrived += 1;
      engine.submit({
        id,
        kind,
        priority: core.promptMix.priority.priorityOf({
          rank: RANK,
          turn: turnOf(aPlan(kind, perMs.short)),
          isResumed: false,
          waitedMs: 0,
          latencyTargetMs: loads.SIZES[kind].targetMs,
        }),
        shared: { id: kind, tokens: sharedTokens },
        ownTokens,
        outputTokens: outputTokens[0],
        deadlineMs: nowMs + DEADLINE_MS,
        onToken: (atMs, isFirst) => {
          if (isFirst && atMs <= nowMs + DEADLINE_MS) served[kind].served += 1;
        },
        onEnd: () => {},
        onBroken: () => {},
      });
    };
    for (let atMs = 0, count = 0; atMs < LASTS_MS; count += 1) {
      const sentAtMs = atMs;
      time.at(sentAtMs, () => send(sentAtMs, `${kind}-${count}`));
      atMs += random.exponential(1 / perMs[kind]);
    }
  });
  time.runUntil(LASTS_MS + DEADLINE_MS);
  return served;
}

function shareOf({ arrived, served }: { arrived: number; served: number }): number {
  return arrived === 0 ? 1 : served / arrived;
}

function isFair({ short, long }: Served): boolean {
  const all = {
    arrived: short.arrived + long.arrived,
    served: short.served + long.served,
  };
  return shareOf(long) >= shareOf(all) / 2;
}

const upstream = fixtures
  .aFleet([fixtures.aListedUpstream(UPSTREAM)])
  .registry.upstreams.get(UPSTREAM);

const usualTurn: TurnOf = (plan) => {
  if (!upstream) throw new Error('the fixture has no upstream');
  const ahead = {
    unreadTokens: 0,
    requests: 0,
    tokensPerMs: TOKENS_PER_MS,
    waitMs: 0,
    blockedMs: 0,
    costMs: 0,
    ownTokens: 0,
    peerTokens: 0,
    usualPeerTokens: 0,
    isPredicted: true,
  };
  return core.promptMix.priority.turnOf(plan, upstream, ahead, [RANK]);
};

suite('the long tenth of the prompts is served at least half as often as all of them', () => {
  fc.assert(
    fc.property(
      fc.integer({ min: 1, max: 1_000_000 }),
      fc.double({ min: 0.05, max: 1.3, noNaN: true }),
      fc.double({ min: 0.05, max: 0.5, noNaN: true }),
      (seed, shortLoad, longLoad) => isFair(play({ seed, shortLoad, longLoad }, usualTurn)),
    ),
    fixtures.seeded(40),
  );
});

suite(
  'always behind shorter ones, long prompts would starve at a load of short ones of 1.2',
  () => {
    const offered = { seed: 1, shortLoad: 1.2, longLoad: 0.2 };
    const strictTurn: TurnOf = ({ kind }) =>
      kind === 'long'
        ? { kind: 'after-shorter', ranks: [RANK] }
        : { kind: 'before-longer', ranks: [RANK] };
    assert.not.ok(isFair(play(offered, strictTurn)));
    assert.ok(isFair(play(offered, usualTurn)));
  },
);

suite.run();
