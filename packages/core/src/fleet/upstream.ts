/** State that an instance keeps for one upstream. Updated in place, since only the fleet task sees it. */
import type * as task from '../kernel/task.js';
import * as inventory from '../shared-context/inventory.js';
import type * as speed from '../speed/types.js';
import * as upstreamModel from '../speed/upstream-model.js';
import type * as namedLimit from './named-limit.js';
import * as peerWork from './peer-work.js';
import type * as rateLimit from './rate-limit.js';

export type ModelVersion = { model: string; version: number };

/** An entry of the platform's list of upstreams. */
export type Registration = {
  id: string;
  service: string;
  address: string;
  dataCentre: string;
  slots: number;
  presence: 'ready' | 'draining';
  coldRemainingMs: number;
  models: readonly ModelVersion[];
  /** What two versions write into a stream does not fit together. */
  softwareVersion: string;
  /** Start of this incarnation; another value under the same id is another incarnation. */
  incarnationStartedAtMs: number | undefined;
};

export type ReportedLoad = { running: number; waiting: number; slots: number };

/**
 * `listed`: on the platform's list. `missing`: removed from the list shortly after a platform outage, may
 * return soon. `draining`: finishes its work and receives no more in this incarnation. `gone`: removed; a
 * later entry of the same incarnation is used only after a successful probe.
 */
export type RegistrationState =
  | { kind: 'listed' }
  | { kind: 'missing'; untilMs: number }
  | { kind: 'draining' }
  | { kind: 'gone'; sinceMs: number };

export type Reachability =
  | { kind: 'answers' }
  /** Connections fail or no bytes arrive; probed until the upstream answers. */
  | { kind: 'silent' };

export type Upstream = {
  registration: Registration;
  registrationState: RegistrationState;
  reachability: Reachability;
  coldUntilMs: number;
  namedLimit: namedLimit.NamedLimit | undefined;
  /** It has said so itself; the platform's list may not tell yet, or tell old news. */
  isLeaving: boolean;
  /** This instance's parts of the limits on the rate of requests. Updated in place. */
  buckets: Map<rateLimit.Reason, rateLimit.Bucket>;
  versions: Map<string, number>;
  /** This instance's attempts in flight, by request id. */
  inFlight: Map<string, InFlightRequest>;
  /** Work that other instances reported. */
  peerWork: peerWork.InFlightWork;
  reportedLoad: ReportedLoad | undefined;
  /** Updated in place. */
  speed: speed.UpstreamModel;
  /** When the last byte from it arrived. */
  lastByteAtMs: number;
  /** Sum of recent faults as of `faultScoreAtMs`, with a half-life of `FAULT_HALF_LIFE_MS`. */
  faultScore: number;
  faultScoreAtMs: number;
  /** Smoothed time to first byte. */
  firstByteLatencyMs: number | undefined;
  /** Send time by part key, oldest first; the upstream may still have these parts cached. */
  recentlySentParts: Map<string, number>;
  /** Until when it wants no request from this instance, in monotonic ms. */
  pausedUntilMs: number;
  /** After rejecting work, the upstream is avoided until this time. */
  backoffUntilMs: number;
};

/** One of this instance's attempts in flight. */
export type InFlightRequest = {
  startedAtMs: number;
  /** Tokens that the upstream has to read or fetch for it. */
  tokensToRead: number;
  promptTokens: number;
  /** Tokens that the upstream has to read before the first event, including `tokensToRead`. */
  tokensUntilFirstEvent: number;
  hasFirstByte: boolean;
  /** What was expected as it was placed. */
  forecast?: speed.Forecast;
};

export function fromRegistration(entry: Registration, now: task.Instant): Upstream {
  return {
    registration: entry,
    registrationState: registrationStateOf(entry),
    reachability: { kind: 'answers' },
    coldUntilMs: now.monotonicMs + entry.coldRemainingMs,
    namedLimit: undefined,
    isLeaving: false,
    buckets: new Map(),
    versions: new Map(entry.models.map(({ model, version }) => [model, version])),
    inFlight: new Map(),
    peerWork: peerWork.NONE,
    reportedLoad: undefined,
    speed: upstreamModel.create(),
    lastByteAtMs: now.monotonicMs,
    faultScore: 0,
    faultScoreAtMs: now.monotonicMs,
    firstByteLatencyMs: undefined,
    recentlySentParts: new Map(),
    pausedUntilMs: 0,
    backoffUntilMs: 0,
  };
}

export function isPaused({ pausedUntilMs }: Upstream, now: task.Instant): boolean {
  return now.monotonicMs < pausedUntilMs;
}

/** Holds back requests and probes for that long; an answer that came before cannot shorten it. */
export function pause(upstream: Upstream, pauseMs: number, now: task.Instant): void {
  const untilMs = Math.max(upstream.pausedUntilMs, now.monotonicMs + pauseMs);
  Object.assign(upstream, { pausedUntilMs: untilMs });
}

function registrationStateOf({ presence }: Registration): RegistrationState {
  return presence === 'draining' ? { kind: 'draining' } : { kind: 'listed' };
}

/** Whether the entry is of an earlier incarnation and came late. */
export function isEarlierIncarnation({ registration }: Upstream, entry: Registration): boolean {
  const { incarnationStartedAtMs: knownMs } = registration;
  const { incarnationStartedAtMs: entryMs } = entry;
  return knownMs !== undefined && entryMs !== undefined && entryMs < knownMs;
}

/** Whether the entry is of a new incarnation, which has none of the previous one's work or context. */
export function isNewIncarnation(upstream: Upstream, entry: Registration): boolean {
  const { incarnationStartedAtMs, address } = upstream.registration;
  const hasNewStart =
    incarnationStartedAtMs !== undefined &&
    entry.incarnationStartedAtMs !== undefined &&
    entry.incarnationStartedAtMs > incarnationStartedAtMs;
  return hasNewStart || entry.address !== address;
}

/**
 * Applies a changed entry of a known upstream. A draining one stays so in this incarnation. Entries come in
 * order, so one that names older weights than the one before tells of a late order that was carried out.
 */
export function applyRegistration(known: Upstream, entry: Registration, now: task.Instant): void {
  if (known.registrationState.kind === 'gone' && entry.presence === 'ready') requireProbe(known);
  const previous = known.registration.models;
  Object.assign(known, {
    registration: entry,
    registrationState:
      known.registrationState.kind === 'draining'
        ? known.registrationState
        : registrationStateOf(entry),
    coldUntilMs:
      entry.coldRemainingMs > 0 ? now.monotonicMs + entry.coldRemainingMs : known.coldUntilMs,
  });
  entry.models.forEach(({ model, version }) => {
    const before = previous.find((each) => each.model === model)?.version ?? 0;
    if (version < before) known.versions.set(model, version);
    else recordVersion(known, model, version);
  });
}

/** A returning entry may be a late write of an upstream that left, so a probe has to succeed first. */
function requireProbe(upstream: Upstream): void {
  Object.assign(upstream, { reachability: { kind: 'silent' } });
}

/** Raises the known version: an answer may be newer than the entry that arrives after it. */
export function recordVersion(upstream: Upstream, model: string, version: number): void {
  if (version <= (upstream.versions.get(model) ?? 0)) return;
  upstream.versions.set(model, version);
  upstream.recentlySentParts.clear();
}

/** Records parts just sent to the upstream, newest last; the oldest are evicted first. */
export function recordSentParts(
  { recentlySentParts }: Upstream,
  salt: string,
  parts: readonly string[],
  now: task.Instant,
): void {
  parts.forEach((part) => {
    const key = inventory.partKey(salt, part);
    recentlySentParts.delete(key);
    recentlySentParts.set(key, now.monotonicMs);
  });
}

const FAULT_HALF_LIFE_MS = 2_000;

export function currentFaultScore({ faultScore, faultScoreAtMs }: Upstream, nowMs: number): number {
  return faultScore * 0.5 ** (Math.max(0, nowMs - faultScoreAtMs) / FAULT_HALF_LIFE_MS);
}

export function addToFaultScore(upstream: Upstream, weight: number, nowMs: number): void {
  Object.assign(upstream, {
    faultScore: currentFaultScore(upstream, nowMs) + weight,
    faultScoreAtMs: nowMs,
  });
}
