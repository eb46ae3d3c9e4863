/**
 * What one instance knows of each upstream's load: its own work in flight, and lagging reports.
 * Updated in place by the routing task, which alone owns it.
 */
import type * as schema from '../configuration/schema.js';
import type * as task from '../kernel/task.js';
import type * as messages from '../messages/index.js';

export type UpstreamLoad = {
  /** Requests that this instance has placed there and that have not ended. */
  inFlight: number;
  /** The upstream's last report, over all instances. */
  reportedRunning: number;
  reportedWaiting: number;
  temperature: messages.Temperature;
  isSilent: boolean;
  /** Empty until reported. */
  weightVersion: string;
};

export type LoadView = {
  ownName: string;
  upstreams: Map<string, UpstreamLoad>;
};

export function create(ownName: string): LoadView {
  return { ownName, upstreams: new Map() };
}

export function read(view: LoadView, upstream: string): UpstreamLoad {
  const found = view.upstreams.get(upstream);
  if (found) return found;
  const fresh: UpstreamLoad = {
    inFlight: 0,
    reportedRunning: 0,
    reportedWaiting: 0,
    temperature: 'cold',
    isSilent: true,
    weightVersion: '',
  };
  view.upstreams.set(upstream, fresh);
  return fresh;
}

/** A request was placed on the upstream. */
export function begin(view: LoadView, upstream: string, now: task.Instant): void {
  void now;
  read(view, upstream).inFlight += 1;
}

/** A placed request has ended. */
export function end(
  view: LoadView,
  upstream: string,
  outcome: messages.Outcome,
  now: task.Instant,
): void {
  void outcome;
  void now;
  const load = read(view, upstream);
  load.inFlight = Math.max(0, load.inFlight - 1);
}

export function applyReport(
  view: LoadView,
  upstream: string,
  report: Extract<messages.EngineReport, { kind: 'load' | 'silent' }>,
  now: task.Instant,
): void {
  void now;
  const load = read(view, upstream);
  if (report.kind === 'silent') {
    load.isSilent = true;
    return;
  }
  load.reportedRunning = report.running;
  load.reportedWaiting = report.waiting;
  load.temperature = report.temperature;
  load.weightVersion = report.weightVersion;
  load.isSilent = false;
}

/** The configuration in force has changed. */
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
}

/** Whether a new request may be placed on the upstream now. */
export function canTake(view: LoadView, upstream: schema.Upstream, now: task.Instant): boolean {
  void now;
  const load = read(view, upstream.name);
  if (upstream.kind === 'engine' && load.temperature === 'cold') {
    return load.inFlight + load.reportedRunning < upstream.coldSlots;
  }
  return true;
}

/** Requests ahead of a new one, by the better known of the two sources. */
export function requestsAhead(view: LoadView, upstream: schema.Upstream): number {
  const load = read(view, upstream.name);
  return Math.max(load.inFlight, load.reportedRunning + load.reportedWaiting);
}
