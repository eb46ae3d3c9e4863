/**
 * One instance's view of each upstream's load: its own requests in flight, and lagging reports.
 * Updated in place by the routing task, its only owner.
 */
import type * as randomness from 'pure-rand/types/JumpableRandomGenerator';

import * as attemptOrder from '../cold-starts/attempt-order.js';
import type * as schema from '../configuration/schema.js';
import type * as task from '../kernel/task.js';
import type * as messages from '../messages/index.js';
import * as random from './random.js';
import * as slowStart from './slow-start.js';
import * as rights from './rights.js';

export type UpstreamLoad = {
  /** Requests that this instance has placed on the upstream and that have not ended. */
  inFlight: number;
  /** The upstream's last report, over all instances. */
  reportedRunning: number;
  reportedWaiting: number;
  /** Own requests started since the last report, minus those ended. */
  netSinceReport: number;
  temperature: messages.Temperature;
  isSilent: boolean;
  hasReported: boolean;
  /** Why the reported temperature `warm` is not trusted, if so. */
  doubt: Suspicion;
  ramp: slowStart.Phase;
  strangers: rights.ForeignRuns;
  slots: number;
  coldSlots: number;
  /** Empty until reported. */
  weightVersion: string;
};

/** `refused`: the upstream refused an own request; `told`: a peer reported a refusal. */
export type Suspicion = { kind: 'none' } | { kind: 'refused' | 'told'; sinceMs: number };

export type LoadView = {
  ownName: string;
  upstreams: Map<string, UpstreamLoad>;
  /** Instances that may be alive, including the own one. */
  instances: readonly attemptOrder.Instance[];
  /** Advanced in place by each draw. */
  generator: randomness.JumpableRandomGenerator;
};

export function create(ownName: string): LoadView {
  const instances = [{ name: ownName, dataCentre: '' }];
  return {
    ownName,
    upstreams: new Map(),
    instances,
    generator: random.createGenerator(ownName),
  };
}

const DEFAULT_SLOTS = 8;
const DEFAULT_COLD_SLOTS = 2;

export function ensureUpstream(view: LoadView, upstream: string): UpstreamLoad {
  const found = view.upstreams.get(upstream);
  if (found) return found;
  const fresh: UpstreamLoad = {
    inFlight: 0,
    reportedRunning: 0,
    reportedWaiting: 0,
    netSinceReport: 0,
    temperature: 'cold',
    isSilent: true,
    hasReported: false,
    doubt: { kind: 'none' },
    ramp: { kind: 'full' },
    strangers: rights.noRight(),
    slots: DEFAULT_SLOTS,
    coldSlots: DEFAULT_COLD_SLOTS,
    weightVersion: '',
  };
  view.upstreams.set(upstream, fresh);
  return fresh;
}

/** Records that a request was placed on the upstream. */
export function recordStart(view: LoadView, upstream: string, now: task.Instant): void {
  void now;
  const load = ensureUpstream(view, upstream);
  load.inFlight += 1;
  load.netSinceReport += 1;
}

/** Records the end of a placed request. */
export function recordEnd(
  view: LoadView,
  upstream: string,
  outcome: messages.PlacementOutcome,
  now: task.Instant,
): void {
  const load = ensureUpstream(view, upstream);
  load.inFlight = Math.max(0, load.inFlight - 1);
  load.netSinceReport -= 1;
  if (rights.isAbandoned(outcome)) load.strangers = rights.withAbandoned(load.strangers, now);
  const isRefusal = outcome.kind === 'failed' && outcome.progress.kind === 'vouched-not-run';
  if (isRefusal) load.doubt = { kind: 'refused', sinceMs: now.monotonicMs };
}

export function applyReport(
  view: LoadView,
  upstream: string,
  report: Extract<messages.EngineReport, { kind: 'load' | 'silent' }>,
  now: task.Instant,
): void {
  const load = ensureUpstream(view, upstream);
  if (report.kind === 'silent') {
    load.isSilent = true;
    return;
  }
  const wasCold = isCold(load);
  load.reportedRunning = report.running;
  load.reportedWaiting = report.waiting;
  load.netSinceReport = 0;
  load.temperature = report.temperature;
  load.weightVersion = report.weightVersion;
  load.isSilent = false;
  load.strangers = rights.withReport(load.strangers, report.running + report.waiting, now);
  if (isSuspicionCleared(load.doubt, now)) load.doubt = { kind: 'none' };
  if (isCold(load)) load.ramp = { kind: 'full' };
  else if (wasCold && load.hasReported) load.ramp = slowStart.start(load.coldSlots, now);
  else {
    load.ramp = slowStart.withReport(load.ramp, report.running + report.waiting, load.slots, now);
  }
  load.hasReported = true;
}

/** A report clears a suspicion only if it was measured after the suspicion arose. */
function isSuspicionCleared(doubt: Suspicion, now: task.Instant): boolean {
  return doubt.kind !== 'none' && now.monotonicMs - doubt.sinceMs >= rights.REPORT_LAG_MAX_MS;
}

/** A silent upstream may have restarted, so it counts as cold until it reports again. */
function isCold(load: UpstreamLoad): boolean {
  return load.temperature === 'cold' || load.isSilent || load.doubt.kind !== 'none';
}

/** Applies a gained, renewed or lost right to send to a cold upstream. */
export function applyRight(view: LoadView, upstream: string, right: messages.ColdStartRight): void {
  const load = ensureUpstream(view, upstream);
  load.strangers = rights.withRight(load.strangers, right);
}

/** Returns cold upstreams that report; only for them is a right worth a call to the platform. */
export function coldUpstreams(view: LoadView): readonly string[] {
  return [...view.upstreams]
    .filter(([, load]) => !load.isSilent && isCold(load))
    .map(([name]) => name);
}

/** Returns the deadline for sending a request placed now, if it depends on a right that expires. */
export function sendBeforeMs(view: LoadView, upstream: string): number | undefined {
  const load = ensureUpstream(view, upstream);
  const { right } = load.strangers;
  return isCold(load) && right.kind === 'held' ? right.untilMs : undefined;
}

/** Applies a change of the active configuration. */
export function applyConfiguration(
  view: LoadView,
  configuration: schema.Configuration,
  now: task.Instant,
): void {
  void now;
  const names = new Set(configuration.upstreams.map(({ name }) => name));
  [...view.upstreams.keys()]
    .filter((name) => !names.has(name))
    .forEach((name) => view.upstreams.delete(name));
  configuration.upstreams.forEach(({ name, slots, coldSlots }) =>
    Object.assign(ensureUpstream(view, name), { slots, coldSlots }),
  );
}

/** Whether a new request may be placed on the upstream now. */
export function canTake(view: LoadView, upstream: schema.Upstream, now: task.Instant): boolean {
  if (upstream.kind === 'plain') return true;
  const load = ensureUpstream(view, upstream.name);
  if (isCold(load)) return rights.maySend(load.strangers, load.inFlight, upstream, now);
  if (load.ramp.kind === 'full') return true;
  return load.inFlight < ownSlowStartShare(view, upstream.name, load.ramp.total);
}

function ownSlowStartShare(view: LoadView, upstream: string, total: number): number {
  const own = view.instances.find(({ name }) => name === view.ownName);
  if (!own) return 0;
  const rank = attemptOrder.rank(own, view.instances, upstream, NO_DATA_CENTRE);
  return slowStart.ownPart(total, rank, view.instances.length);
}

/** No data centre has this name, so no data centre is preferred in the rank. */
const NO_DATA_CENTRE = '-';

/** Returns the requests ahead: last report plus own changes since, at least all own requests. */
export function requestsAhead(view: LoadView, upstream: schema.Upstream): number {
  const load = ensureUpstream(view, upstream.name);
  const reported = load.reportedRunning + load.reportedWaiting;
  return Math.max(load.inFlight, reported + load.netSinceReport);
}

/**
 * Estimates the own part of the free slots. Instances that see the same reports divide them, but by
 * the square root of their number, because few instances have a burst at the same time.
 */
export function estimateFreeSlots(view: LoadView, upstream: schema.Upstream): number {
  const free = Math.max(0, upstream.slots - requestsAhead(view, upstream));
  if (upstream.kind === 'plain') return free;
  const load = ensureUpstream(view, upstream.name);
  if (isCold(load)) return rights.countFreeSlots(load.strangers, load.inFlight, upstream);
  const part = free / Math.sqrt(view.instances.length);
  if (load.ramp.kind === 'full') return part;
  return Math.max(0, ownSlowStartShare(view, upstream.name, load.ramp.total) - load.inFlight);
}
