/** The model: callers, instances that hear late of each other, and engines. */
import * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';

import * as randomness from '../models/randomness.js';
import * as callers from './callers.js';
import * as engines from './engine.js';
import * as instances from './instance.js';
import type * as policies from './policies.js';
import * as quotas from './quotas.js';

export type Incident =
  | { kind: 'engines-gone'; share: number; fromMs: number; untilMs: number }
  | { kind: 'instances-gone'; share: number; atMs: number }
  /** No datagram arrives. */
  | { kind: 'peers-silent'; fromMs: number; untilMs: number };

export type Schedule = {
  seed: number;
  instances: number;
  engines: number;
  untilMs: number;
  streams: readonly callers.Stream[];
  incidents: readonly Incident[];
};

export type Outcome = {
  calls: readonly callers.Call[];
  readAgain: number;
  decisionMicros: readonly number[];
};

/** The instance by way of which the others hear of each other, 0.4 to 0.9 s late. */
const READER = 'i-0';
/** Age of the load that the policy `least-loaded` knows. */
const REPORT_AGE_MS = 400;
const REPORT_EVERY_MS = 200;
/** Engines are 2.5 times as slow for a seventh of the time, in episodes of 0.6 s. */
const SLOW = { factor: 2.5, forMs: 600, everyMs: 4_200 };
/** Calls that were sent last end by themselves. */
const DRAIN_MS = 13_000;
const MAX_PLACEMENTS = 4;
const LINK_MS = 1;
const LOST_RETURN_MS = 100;

export function run(schedule: Schedule, policy: policies.Policy): Outcome {
  const sim = fixtures.aSimulation();
  const random = randomness.create(schedule.seed);
  const arrivals = randomness.create(schedule.seed + 1);
  const names = Array.from({ length: schedule.instances }, (_, at) => `i-${at}`);
  const ids = Array.from({ length: schedule.engines }, (_, at) => `u-${at}`);
  const modelled = new Map(ids.map((id) => [id, engines.create(sim)]));
  const reported = new Map(ids.map((id) => [id, 0]));
  const calls: callers.Call[] = [];
  const decisionMicros: number[] = [];
  const state = { isSilent: false };
  const accounts = new Set(schedule.streams.map(({ account }) => account.name));
  const quota = quotas.create(accounts.size, schedule.engines);
  const fleet = names.map((name) =>
    instances.create(sim, {
      name,
      members: names,
      upstreams: ids,
      policy,
      isReader: name === READER,
      onTimed: (micros) => decisionMicros.push(micros),
      send: (command) => deliver(name, command),
    }),
  );

  function deliver(from: string, command: core.fleet.Command): void {
    if (command.kind === 'probe') {
      const { probe } = command;
      const result = modelled.get(probe.upstream)?.isUp()
        ? ({ kind: 'healthy', coldMs: 0 } as const)
        : ({ kind: 'no-response' } as const);
      fleet
        .find(({ name }) => name === from)
        ?.tell({ type: 'fleet.probe-finished', probe, result });
      return;
    }
    const message = toMessage(command);
    if (!message || state.isSilent) return;
    const isSum = from === READER;
    fleet
      .filter(({ name }) => name !== from && (isSum || name === READER))
      .forEach((each) => sim.add(random.between(LINK_MS, 2 * LINK_MS), () => each.tell(message)));
  }

  function send(call: callers.Call): void {
    const up = fleet.filter((each) => each.isUp());
    const instance = up[Math.floor(random.share() * up.length)];
    if (!instance) return;
    Object.assign(call, { attempts: call.attempts + 1 });
    attempt(call, instance, `${call.id}/${call.attempts}`, []);
  }

  function attempt(
    call: callers.Call,
    instance: instances.Instance,
    id: string,
    excluded: readonly string[],
  ): void {
    const receivedAtMs = sim.nowMs();
    const requestId = `${id}/${excluded.length}`;
    const onRefused = (retryAfterMs: number) => refuse(call, receivedAtMs, retryAfterMs);
    const onPlaced = (upstream: string) =>
      sim.add(LINK_MS, () => submit(call, instance, id, requestId, upstream, excluded));
    if (policy === 'equal-shares' && !quota.take(call, sim.nowMs())) {
      onRefused(core.returns.retryTime.MIN_RETRY_AFTER_MS);
    } else if (policy === 'least-loaded') onPlaced(leastLoaded());
    else instance.place({ call, requestId, excluded, receivedAtMs, onPlaced, onRefused });
  }

  function leastLoaded(): string {
    const up = ids.filter((id) => modelled.get(id)?.isUp());
    const draw = up[Math.floor(random.share() * up.length)] ?? '';
    return up.reduce(
      (best, id) => ((reported.get(id) ?? 0) < (reported.get(best) ?? 0) ? id : best),
      draw,
    );
  }

  function refuse(call: callers.Call, receivedAtMs: number, retryAfterMs: number): void {
    Object.assign(call, { firstRefusalMs: call.firstRefusalMs ?? sim.nowMs() - receivedAtMs });
    const delayMs = callers.returnInMs(call, retryAfterMs, sim.nowMs());
    if (delayMs !== undefined) sim.add(delayMs, () => send(call));
  }

  function submit(
    call: callers.Call,
    instance: instances.Instance,
    id: string,
    requestId: string,
    upstream: string,
    excluded: readonly string[],
  ): void {
    const { kind } = call;
    const engine = modelled.get(upstream);
    const end = (outcome: core.gateway.lifecycleState.AttemptOutcome) =>
      instance.tell({ type: 'fleet.attempt-ended', requestId, upstream, outcome });
    const respond = (selfReport: core.fleet.upstreamHealth.Signals | undefined) =>
      instance.tell({ type: 'fleet.upstream-responded', upstream, requestId, selfReport });
    const isOver = () => sim.nowMs() >= call.sentAtMs + kind.deadlineMs || !instance.isUp();
    const isTaken = engine?.submit({
      parts: callers.partsOf(call),
      outputTokens: kind.outputTokens,
      rank: policy === 'first-come' ? 0 : kind.rank,
      isOver,
      onFirstToken: () => {
        if (!isOver()) Object.assign(call, { firstTokenMs: sim.nowMs() - call.sentAtMs });
        respond(fixtures.signals({ load: engine.load() }));
      },
      onToken: () => respond(undefined),
      onEnd: () => {
        const isEnded = call.firstTokenMs !== undefined && !isOver();
        Object.assign(call, { isEnded, endedAtMs: isEnded ? sim.nowMs() : undefined });
        end(call.isEnded ? 'answered' : 'cancelled');
        if (!instance.isUp() && !call.isEnded) sim.add(LOST_RETURN_MS, () => send(call));
      },
      onLost: () => {
        end('broken');
        Object.assign(call, { firstTokenMs: undefined });
        const delayMs = callers.returnInMs(call, LOST_RETURN_MS, sim.nowMs());
        if (delayMs !== undefined) sim.add(delayMs, () => send(call));
      },
    });
    if (isTaken) return;
    end(engine?.isUp() ? 'rejected' : 'unreachable');
    if (excluded.length + 1 < MAX_PLACEMENTS) {
      attempt(call, instance, id, [...excluded, upstream]);
    } else refuse(call, sim.nowMs(), core.returns.retryTime.MIN_RETRY_AFTER_MS);
  }

  function begin(incident: Incident): void {
    switch (incident.kind) {
      case 'engines-gone': {
        const gone = ids.slice(0, Math.round(ids.length * incident.share));
        sim.add(incident.fromMs, () => gone.forEach((id) => modelled.get(id)?.stop()));
        sim.add(incident.untilMs, () => gone.forEach((id) => modelled.get(id)?.resume()));
        return;
      }
      case 'instances-gone':
        sim.add(incident.atMs, () =>
          fleet.slice(0, Math.round(fleet.length * incident.share)).forEach((each) => each.kill()),
        );
        return;
      case 'peers-silent':
        sim.add(incident.fromMs, () => Object.assign(state, { isSilent: true }));
        sim.add(incident.untilMs, () => Object.assign(state, { isSilent: false }));
        return;
      default:
        core.results.assertNever(incident);
    }
  }

  /** Reports of load, as old as those of peers. */
  function report(): void {
    ids.forEach((id) => {
      const { running = 0, waiting = 0 } = modelled.get(id)?.load() ?? {};
      sim.add(REPORT_AGE_MS, () => reported.set(id, running + waiting));
    });
    sim.add(REPORT_EVERY_MS, report);
  }

  function slowDown(engine: engines.Engine): void {
    sim.add(random.exponential(SLOW.everyMs - SLOW.forMs), () => {
      engine.setSlow(SLOW.factor);
      sim.add(SLOW.forMs, () => {
        engine.setSlow(1);
        slowDown(engine);
      });
    });
  }

  report();
  modelled.forEach(slowDown);
  schedule.incidents.forEach(begin);
  callers.schedule(sim, arrivals, schedule.streams, (call) => {
    calls.push(call);
    send(call);
  });
  sim.advance(schedule.untilMs + DRAIN_MS);
  const readAgain = [...modelled.values()].reduce((sum, each) => sum + each.readAgain(), 0);
  return { calls, readAgain, decisionMicros };
}

function toMessage(command: core.fleet.Command): core.messages.FleetMessage | undefined {
  if (command.kind === 'send-peer-update') {
    return { type: 'fleet.peer-update', update: command.update };
  }
  return command.kind === 'send-usage-update'
    ? { type: 'fleet.usage-update', update: command.update }
    : undefined;
}
