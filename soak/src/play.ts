/** Plays one seed: faults and callers at a deployment of real processes. */
import * as timers from 'node:timers/promises';

import * as callers from './callers.js';
import type * as children from './children.js';
import * as deployments from './deployment.js';
import * as oracle from './oracle.js';
import * as schedules from './schedule.js';

export type Result = {
  seed: number;
  outcomes: readonly callers.Outcome[];
  runs: ReadonlyMap<string, number>;
  violations: readonly string[];
};

/** As the platform stops a process. */
const GRACE_MS = 8_000;
/** What is on its way when the callers have ended still arrives. */
const SETTLING_MS = 1_000;

export async function play(seed: number, size: schedules.Size): Promise<Result> {
  const { series, callers: visits } = schedules.draw(seed, size);
  const deployment = await deployments.start(size);
  const endsAtMs = performance.now() + size.durationMs;
  const faults = series.map((each) => playSeries(deployment, each, endsAtMs));
  const outcomes = await Promise.all(
    visits.map((each, at) => callers.play(`s${seed}-c${at}`, each, deployment.proxies, endsAtMs)),
  );
  await Promise.all(faults);
  await timers.setTimeout(SETTLING_MS);
  await deployment.end();
  const { runs } = deployment;
  const violations = oracle.violationsOf(outcomes.flat(), runs);
  return { seed, outcomes: outcomes.flat(), runs, violations };
}

async function playSeries(
  deployment: deployments.Deployment,
  series: schedules.Series,
  endsAtMs: number,
): Promise<void> {
  for (const { pauseMs, fault } of series) {
    await timers.setTimeout(pauseMs);
    if (performance.now() >= endsAtMs) return;
    await strike(deployment, fault);
  }
}

async function strike(deployment: deployments.Deployment, fault: schedules.Fault): Promise<void> {
  switch (fault.kind) {
    case 'freeze-instance':
      await freeze(deployment.instances[fault.at], fault.forMs);
      return;
    case 'freeze-upstream':
      await freeze(deployment.upstreams[fault.at], fault.forMs);
      return;
    case 'freeze-store':
      await freeze(deployment.store, fault.forMs);
      return;
    case 'stop-instance':
      await stop(deployment, fault.at);
      return;
    case 'kill-instance':
      if (await end(deployment.instances[fault.at], 'SIGKILL')) {
        await deployment.restartInstance(fault.at);
      }
      return;
    case 'reload-instance':
      deployment.instances[fault.at]?.signal('SIGHUP');
      return;
    case 'kill-upstream':
      if (await end(deployment.upstreams[fault.at], 'SIGKILL')) {
        await deployment.restartUpstream(fault.at);
      }
      return;
    case 'misname-upstream':
      await deployment.misnameUpstream(fault.at, fault.forMs);
      return;
    case 'change-configuration':
      await deployment.configure();
      return;
    default:
      throw new Error(`unexpected fault: ${JSON.stringify(fault satisfies never)}`);
  }
}

async function freeze(child: children.Child | undefined, forMs: number): Promise<void> {
  child?.signal('SIGSTOP');
  await timers.setTimeout(forMs);
  child?.signal('SIGCONT');
}

async function stop(deployment: deployments.Deployment, at: number): Promise<void> {
  const child = deployment.instances[at];
  const killed = new AbortController();
  const kill = timers
    .setTimeout(GRACE_MS, undefined, { signal: killed.signal })
    .then(() => child?.signal('SIGKILL'))
    .catch(() => undefined);
  const isLast = await end(child, 'SIGTERM');
  killed.abort();
  await kill;
  if (isLast) await deployment.restartInstance(at);
}

/** Waits for the end of the process; false if another fault has begun to restart it. */
async function end(child: children.Child | undefined, signal: NodeJS.Signals): Promise<boolean> {
  if (!child?.claimRestart()) return false;
  child.signal(signal);
  await child.exited;
  return true;
}
