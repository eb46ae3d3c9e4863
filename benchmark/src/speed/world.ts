/** Plays a scenario under a policy: instances with the real decisions before modelled engines. */
import * as core from '@medlarweir/core';

import * as randomness from '../models/randomness.js';
import * as timeline from '../models/timeline.js';
import * as engines from './engine.js';
import * as policies from './policies.js';
import * as scenarios from './scenarios.js';

export type Answer = {
  kind: scenarios.Kind;
  /** From the arrival of the request. */
  firstEventMs: number;
  /** Between prediction and first event, from the placement. */
  errorMs: number;
};

export type Outcome = { answers: readonly Answer[]; refused: number; sentBytes: number };

type Instance = { name: string; state: core.fleet.state.State };

const SERVICE = 'models';
const LINK_MS = 2;
const RELAY_MS = 100;
const BURST = 3;
const POLL_MS = 25;
/** A request without a place is refused after this share of its latency target. */
const PATIENCE_SHARE = 1 / 8;
/** Not counted, while models and caches are still empty. */
const WARM_UP_MS = 5_000;
const BOUNDS = { coldOverrun: 1.5, coldSlack: 5, rolloutMs: 8_000 };

export function play(
  scenario: scenarios.Scenario,
  policy: policies.Policy,
  { seed, lastsMs }: { seed: number; lastsMs: number },
): Outcome {
  const time = timeline.create();
  const random = randomness.create(seed);
  const { upstreams: count, factors, slots, tokensPerMs } = scenario;
  const ids = Array.from({ length: count }, (_, at) => `u-${at}`);
  const slowdowns = ids.map((_, at) =>
    scenarios.spellsOf(scenario, randomness.create(seed + at + 1), lastsMs * 2),
  );
  const models = ids.map((_, at) => {
    const slowdownAt = slowdowns[at] ?? (() => 1);
    const options = { factor: factors[at % factors.length] ?? 1, slots, slowdownAt };
    return scenario.service === 'plain'
      ? engines.createPlain(time, options, () => 30 + random.exponential(13))
      : engines.create(time, { ...options, tokensPerMs });
  });
  const instances = createInstances(scenario, policy, ids);
  const answers: Answer[] = [];
  const counts = { refused: 0, requests: 0, sentBytes: 0 };
  const now = () => ({ monotonicMs: time.nowMs(), wallMs: time.nowMs() });

  function tell(instance: Instance, message: core.messages.FleetMessage): void {
    const { state, commands } = core.fleet.decide(instance.state, message, now());
    Object.assign(instance, { state });
    commands.forEach((command) => perform(instance, command));
  }

  function perform(instance: Instance, command: core.fleet.Command): void {
    if (command.kind === 'schedule-tick') {
      time.after(core.fleet.TICK_INTERVAL_MS, () => tell(instance, { type: 'fleet.tick' }));
    } else if (command.kind === 'schedule-peer-update') {
      time.after(command.delayMs, () => tell(instance, { type: 'fleet.publish-work' }));
    } else if (command.kind === 'send-peer-update') {
      const { update } = command;
      relay(instance, update.scope, () => ({ type: 'fleet.peer-update', update }));
    } else if (command.kind === 'send-speed-update') {
      const { update } = command;
      relay(instance, update.scope, () => ({ type: 'fleet.speed-update', update }));
    }
  }

  /** The first instance is the reader of all others. */
  function relay(
    from: Instance,
    scope: core.fleet.peerWork.Scope,
    message: () => core.messages.FleetMessage,
  ): void {
    const [reader] = instances;
    const receivers = scope === 'own' ? instances.slice(0, 1) : instances.slice(1);
    if (scope === 'group' || (scope === 'own' && from === reader)) return;
    time.after(RELAY_MS, () => receivers.forEach((each) => tell(each, message())));
  }

  function arrive(): void {
    const instance = instances[Math.floor(random.share() * instances.length)];
    const kind = pickKind(scenario, random.share());
    if (!instance) return;
    counts.requests += 1;
    const requestId = `r-${counts.requests}`;
    tryPlace(instance, requestId, kind, time.nowMs());
  }

  function tryPlace(
    instance: Instance,
    requestId: string,
    kind: scenarios.Kind,
    arrivedMs: number,
  ): void {
    const request = policies.requestOf(requestId, SERVICE, kind);
    const { state } = instance;
    const placed = policies.place(policy, state, request, now(), () => random.share());
    if (placed.kind === 'none') {
      const isOver = time.nowMs() - arrivedMs >= kind.latencyTargetMs * PATIENCE_SHARE;
      if (!isOver) time.after(POLL_MS, () => tryPlace(instance, requestId, kind, arrivedMs));
      else if (arrivedMs >= WARM_UP_MS) counts.refused += 1;
      return;
    }
    const { destination } = placed;
    core.fleet.peerUpdates.addChange(state.outbox, destination);
    const predictedMs = policies.predictedMs(policy, state, SERVICE, destination);
    send(
      instance,
      requestId,
      kind,
      { arrivedMs, placedMs: time.nowMs(), predictedMs },
      destination,
    );
  }

  function send(
    instance: Instance,
    requestId: string,
    kind: scenarios.Kind,
    { arrivedMs, placedMs, predictedMs }: Record<'arrivedMs' | 'placedMs' | 'predictedMs', number>,
    { upstream, expected }: core.messages.Destination,
  ): void {
    const at = ids.indexOf(upstream);
    const model = models[at];
    if (!model) return;
    const onFirstEvent = () => {
      const actual = slowdowns[at]?.(time.nowMs()) ?? 1;
      const slowdown = policy === 'predicted' ? reportedSlowdown(scenario, at, actual) : undefined;
      const selfReport = headOf(model, slowdown);
      time.after(LINK_MS, () => {
        tell(instance, { type: 'fleet.upstream-responded', upstream, requestId, selfReport });
        if (arrivedMs < WARM_UP_MS) return;
        const errorMs = time.nowMs() - placedMs - predictedMs;
        answers.push({ kind, firstEventMs: time.nowMs() - arrivedMs, errorMs });
      });
    };
    const onEnd = () =>
      time.after(LINK_MS, () =>
        tell(instance, { type: 'fleet.attempt-ended', requestId, upstream, outcome: 'answered' }),
      );
    const { outputTokens } = kind;
    const work = { tokens: expected.tokensToRead, outputTokens, onFirstEvent, onEnd };
    time.after(LINK_MS, () => model.add(work));
  }

  function demand(): void {
    const { share, periodMs } = scenario.variation;
    const factor = 1 + share * Math.sin((2 * Math.PI * time.nowMs()) / periodMs);
    time.after(random.exponential((1_000 * BURST) / (scenario.perS * factor)), () => {
      for (let at = 0; at < BURST; at += 1) arrive();
      demand();
    });
  }

  instances.forEach((each) =>
    time.after(random.share() * 500, () => tell(each, { type: 'fleet.tick' })),
  );
  demand();
  time.runUntil(lastsMs);
  return { answers, refused: counts.refused, sentBytes: counts.sentBytes };
}

function createInstances(
  scenario: scenarios.Scenario,
  policy: policies.Policy,
  ids: readonly string[],
): readonly Instance[] {
  const names = Array.from({ length: scenario.instances }, (_, at) => `instance-${at}`);
  return names.map((name, at) => ({
    name,
    state: policies.createState(scenario, policy, {
      name,
      names,
      ids,
      sharing: at === 0 ? 'as-reader' : 'through-reader',
      bounds: BOUNDS,
    }),
  }));
}

function pickKind({ kinds }: scenarios.Scenario, draw: number): scenarios.Kind {
  const [first] = kinds;
  if (!first) throw new Error('a scenario needs a kind of request');
  return draw < first.share ? first : (kinds[1] ?? first);
}

/** The first upstream reports ten times the usual time for ever, if reports are frozen. */
function reportedSlowdown(
  { reporting }: scenarios.Scenario,
  at: number,
  actual: number,
): number | undefined {
  switch (reporting) {
    case 'honest':
      return actual;
    case 'frozen':
      return at === 0 ? 10 : actual;
    case 'none':
      return undefined;
    default:
      return core.results.assertNever(reporting);
  }
}

function headOf(
  model: engines.Engine,
  slowdown: number | undefined,
): core.fleet.upstreamHealth.Signals {
  return {
    load: model.load(),
    ...(slowdown === undefined ? {} : { slowdown }),
    coldMs: undefined,
    version: undefined,
    limitPerS: undefined,
    isLeaving: false,
    pauseMs: undefined,
  };
}
