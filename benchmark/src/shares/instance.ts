/** One instance of the model: the real decisions of the fleet task, and what the request's task does with them. */
import * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';

import type * as callers from './callers.js';
import type * as policies from './policies.js';

export type Instance = {
  name: string;
  isUp(): boolean;
  kill(): void;
  tell(message: core.messages.FleetMessage): void;
  /** Asks for a place; one of the callbacks follows. */
  place(asked: Asked): void;
};

export type Asked = {
  call: callers.Call;
  requestId: string;
  excluded: readonly string[];
  receivedAtMs: number;
  onPlaced(upstream: string): void;
  onRefused(retryAfterMs: number): void;
};

export type Options = {
  name: string;
  members: readonly string[];
  upstreams: readonly string[];
  policy: policies.Policy;
  /** Whether it sums up the work of the others for them. */
  isReader: boolean;
  send(update: core.fleet.Command): void;
  onTimed(micros: number): void;
};

const POLL_MS = 25;
const MICROS_PER_MS = 1_000;

export function create(sim: fixtures.Simulation, options: Options): Instance {
  const { policy, name, members } = options;
  const listed = options.upstreams.map((id) => fixtures.aListedUpstream(id, { slots: 64 }));
  const features = new Set(policy === 'shares' ? ['pressure'] : []);
  const service = fixtures.aService({ engine: { cacheCapacityTokens: 90_494 }, coldPerS: 0 });
  const services = new Map([['models', service]]);
  let state = fixtures.aFleet(listed, {
    instance: name,
    members: [...members],
    features,
    services,
    sharing: options.isReader ? 'as-reader' : 'through-reader',
  });
  const status = { isUp: true, timer: 0 };

  function tell(message: core.messages.FleetMessage): void {
    if (!status.isUp) return;
    const startedMs = performance.now();
    const step = core.fleet.decide(state, message, fixtures.anInstant(sim.nowMs()));
    if (message.type === 'fleet.place') {
      options.onTimed((performance.now() - startedMs) * MICROS_PER_MS);
    }
    state = step.state;
    step.commands.forEach(perform);
  }

  /** The commands that matter here; the others go to tasks that the model does not have. */
  function perform(command: core.fleet.Command): void {
    if (command.kind === 'reply') command.replyTo.send(command.message);
    if (command.kind === 'send-peer-update' || command.kind === 'send-usage-update') {
      options.send(command);
    }
    if (command.kind === 'probe') sim.add(1, () => options.send(command));
    if (command.kind === 'schedule-tick') {
      sim.add(core.fleet.TICK_INTERVAL_MS, () => tell({ type: 'fleet.tick' }));
    }
    if (command.kind === 'schedule-peer-update') {
      sim.add(command.delayMs, () => tell({ type: 'fleet.publish-work' }));
    }
    if (command.kind === 'schedule-waiting') {
      status.timer += 1;
      const { timer } = status;
      sim.add(Math.ceil(command.delayMs) + 1, () => {
        if (timer === status.timer) tell({ type: 'fleet.waiting-due' });
      });
    }
  }

  function place(asked: Asked): void {
    const { call, requestId, receivedAtMs, excluded } = asked;
    const { kind } = call;
    const deadlineAtMs = call.sentAtMs + kind.deadlineMs;
    const placementRequest = {
      ...fixtures.aPlacementRequest({
        requestId,
        prompt: call.prompt,
        content: call.id,
        clientAccount: call.account.name,
        excludedUpstreams: excluded,
        latencyTargetMs: kind.latencyTargetMs,
        mayRefuse: policy !== 'first-come',
      }),
      waiting: {
        rank: kind.rank,
        receivedAtMs,
        deadlineAtMs,
        routeTimeoutMs: kind.deadlineMs,
        maxMs: core.gateway.overload.maxQueueMs({
          isResumed: false,
          latencyTargetMs: kind.latencyTargetMs,
        }),
        since: 'arrival' as const,
      },
    };
    const ask = () => tell({ type: 'fleet.place', placementRequest, replyTo: { send: onAnswer } });
    function onAnswer(message: core.messages.RequestMessage): void {
      if (message.type === 'fleet.placed') asked.onPlaced(message.destination.upstream);
      if (message.type === 'fleet.not-placed') onNotPlaced(message);
    }
    /** As `gateway/lifecycle-search` does. */
    function onNotPlaced(
      message: Extract<core.messages.RequestMessage, { type: 'fleet.not-placed' }>,
    ): void {
      if (message.retryAfterMs !== undefined) {
        asked.onRefused(message.retryAfterMs);
        return;
      }
      const { freeInMs } = message;
      const waitedMs = sim.nowMs() - receivedAtMs;
      const { latencyTargetMs } = kind;
      const unplaced = { requestId, isResumed: false, waitedMs, latencyTargetMs, freeInMs };
      const verdict = core.gateway.overload.judge(unplaced);
      if (verdict.kind === 'wait') sim.add(POLL_MS, ask);
      else asked.onRefused(verdict.retryAfterMs);
    }
    ask();
  }

  tell({ type: 'task.start' });
  return {
    name,
    isUp: () => status.isUp,
    kill: () => Object.assign(status, { isUp: false }),
    tell,
    place,
  };
}
