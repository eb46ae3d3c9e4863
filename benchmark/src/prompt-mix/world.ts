/** Plays one load at one site under one policy, in simulated time. */
import * as core from '@medlarweir/core';

import * as timeline from '../models/timeline.js';
import * as engines from './engine.js';
import * as figures from './figures.js';
import * as instances from './instances.js';
import * as loads from './load.js';
import * as policies from './policies.js';

export type Play = {
  site: loads.Site;
  policy: policies.Policy;
  longPerS: number;
  seed: number;
  lastsMs: number;
  isHeard: boolean;
  /** Whether both kinds have the rank of the long ones. */
  isOneRank: boolean;
  /** Engines that go away in the middle. */
  failures: number;
};

/** One way between a caller, an instance and an engine. */
const LINK_MS = 2;
/** How often a request that waits for a place asks again. */
const POLL_MS = 25;
const TICK_MS = core.fleet.TICK_INTERVAL_MS;
/** A caller comes back this often after refusals. */
const MAX_RETURNS = 3;

export function play(given: Play): figures.Figures {
  const { site, policy, seed, lastsMs } = given;
  const time = timeline.create();
  const fleet = instances.create(time, site, {
    features: policies.FEATURES[policy],
    isHeard: given.isHeard,
    forgetsMix: policy === 'speed-alone',
  });
  const shapeOf = (at: number): engines.Shape => ({
    slots: 64,
    queue: 192,
    memoryTokens: site.memoryTokens,
    tokensPerMs: site.tokensPerMs,
    slowdownAt: loads.slowdown(site, at, seed),
  });
  const byId = new Map(
    fleet.upstreams.map((id, at) => [id, engines.create(time, shapeOf(at))] as const),
  );
  const tally = figures.create();

  function attempt(asked: policies.Asked, sinceMs: number, returns: number): void {
    const { arrival } = asked;
    const size = loads.SIZES[arrival.kind];
    const placed = policies.place(given, fleet, asked, time.nowMs());
    if (placed.kind === 'placed') {
      send(asked, placed, returns);
      return;
    }
    const verdict = core.gateway.overload.judge({
      requestId: arrival.id,
      isResumed: false,
      waitedMs: time.nowMs() - sinceMs,
      latencyTargetMs: size.targetMs,
      freeInMs: placed.freeInMs,
    });
    if (verdict.kind === 'wait') {
      time.after(POLL_MS, () => attempt(asked, sinceMs, returns));
      return;
    }
    tally.refused(arrival.kind, arrival.atMs);
    const againAtMs = time.nowMs() + verdict.retryAfterMs;
    if (returns >= MAX_RETURNS || againAtMs > arrival.atMs + size.deadlineMs) return;
    const again = { ...asked, attempt: asked.attempt + 1 };
    time.at(againAtMs, () => attempt(again, againAtMs, returns + 1));
  }

  function send(asked: policies.Asked, { upstream, priority }: PlacedAt, returns: number): void {
    const { arrival } = asked;
    const size = loads.SIZES[arrival.kind];
    const requestId = policies.requestId(asked);
    const end = (outcome: core.gateway.lifecycleState.AttemptOutcome) =>
      fleet.tell(arrival.instance, {
        type: 'fleet.attempt-ended',
        requestId,
        upstream,
        outcome,
      });
    const work: engines.Work = {
      id: requestId,
      kind: arrival.kind,
      priority,
      shared: { id: arrival.shared, tokens: size.sharedTokens },
      ownTokens: size.ownTokens,
      outputTokens: arrival.outputTokens,
      deadlineMs: arrival.atMs + size.deadlineMs,
      onToken: (atMs, isFirst) => {
        tally.token(arrival, atMs + 2 * LINK_MS, isFirst);
        if (!isFirst) return;
        time.after(LINK_MS, () =>
          fleet.tell(arrival.instance, {
            type: 'fleet.upstream-responded',
            upstream,
            requestId,
            selfReport: undefined,
          }),
        );
      },
      onEnd: () => time.after(LINK_MS, () => end('answered')),
      onBroken: () =>
        time.after(LINK_MS, () => {
          end('unreachable');
          attempt({ ...asked, attempt: asked.attempt + 1, isRepeat: true }, time.nowMs(), returns);
        }),
    };
    time.after(LINK_MS, () => {
      if (byId.get(upstream)?.submit(work)) return;
      time.after(LINK_MS, () => {
        end('rejected');
        attempt({ ...asked, attempt: asked.attempt + 1, isRepeat: true }, time.nowMs(), returns);
      });
    });
  }

  loads.arrivals(site, given.longPerS, lastsMs, seed).forEach((arrival) =>
    time.at(arrival.atMs, () => {
      tally.arrived(arrival);
      attempt({ arrival, attempt: 0, isRepeat: false }, time.nowMs(), 0);
    }),
  );
  const tick = () => {
    time.after(TICK_MS, tick);
    fleet.states.forEach((_, at) => fleet.tell(at, { type: 'fleet.tick' }));
  };
  tick();
  time.at((figures.WARM_UP_MS + lastsMs) / 2, () =>
    [...byId.values()].slice(0, given.failures).forEach((engine) => engine.fail()),
  );
  time.runUntil(lastsMs + 3_000);
  const readTokens = [...byId.values()].map((each) => each.readTokens());
  return tally.result(readTokens);
}

type PlacedAt = Extract<policies.Placed, { kind: 'placed' }>;
