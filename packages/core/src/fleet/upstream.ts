/** What an instance knows of one upstream. Updated in place: only the fleet's task sees it. */
import type * as task from '../kernel/task.js';
import * as inventory from '../shared-context/inventory.js';
import * as peerWork from './peer-work.js';

export type ModelVersion = { model: string; version: number };

/** An upstream as the platform's list shows it. */
export type Registration = {
  id: string;
  service: string;
  address: string;
  dataCentre: string;
  slots: number;
  presence: 'ready' | 'draining';
  coldRemainingMs: number;
  models: readonly ModelVersion[];
  /** Start of this incarnation; another value under the same id is another incarnation. */
  incarnationStartedAtMs: number | undefined;
};

export type ReportedLoad = { running: number; waiting: number; slots: number };

/**
 * `listed`: on the platform's list. `missing`: fell off the list while the platform was away, and may
 * be back in a moment. `gone`: never used again in this incarnation.
 */
export type RegistrationState =
  | { kind: 'listed' }
  | { kind: 'missing'; sinceMs: number }
  | { kind: 'draining' }
  | { kind: 'gone'; sinceMs: number };

/** Whether the upstream answers at all. */
export type Reachability =
  | { kind: 'answers' }
  /** Connections fail or nothing comes back; probed until something does. */
  | { kind: 'silent' };

export type Upstream = {
  registration: Registration;
  registrationState: RegistrationState;
  reachability: Reachability;
  /** Until when it counts as cold. */
  coldUntilMs: number;
  /** When this instance may next send to it while it is cold. */
  nextColdSendAtMs: number;
  versions: Map<string, number>;
  /** Own attempts under way, by request. */
  inFlight: Map<string, InFlightRequest>;
  /** Work of other instances, as far as they told. */
  peerWork: peerWork.InFlightWork;
  reportedLoad: ReportedLoad | undefined;
  /** When a byte last came from it. */
  lastByteAtMs: number;
  /** Faults of late, halved with time. */
  faultScore: number;
  faultScoreAtMs: number;
  /** Smoothed time to its first byte. */
  firstByteLatencyMs: number | undefined;
  /** Parts that were sent to it, with the time; it may still have them. */
  recentlySentParts: Map<string, number>;
  /** It rejected work: passed over until then. */
  backoffUntilMs: number;
};

/** An own attempt under way. */
export type InFlightRequest = {
  startedAtMs: number;
  /** Tokens that the upstream has to read or to fetch for it. */
  tokensToRead: number;
  promptTokens: number;
  /** Tokens that the upstream had to read before its first event, these included. */
  tokensUntilFirstEvent: number;
  hasFirstByte: boolean;
};

export function fromRegistration(listed: Registration, now: task.Instant): Upstream {
  return {
    registration: listed,
    registrationState: registrationStateOf(listed),
    reachability: { kind: 'answers' },
    coldUntilMs: now.monotonicMs + listed.coldRemainingMs,
    nextColdSendAtMs: 0,
    versions: new Map(listed.models.map(({ model, version }) => [model, version])),
    inFlight: new Map(),
    peerWork: peerWork.NONE,
    reportedLoad: undefined,
    lastByteAtMs: now.monotonicMs,
    faultScore: 0,
    faultScoreAtMs: now.monotonicMs,
    firstByteLatencyMs: undefined,
    recentlySentParts: new Map(),
    backoffUntilMs: 0,
  };
}

function registrationStateOf({ presence }: Registration): RegistrationState {
  return presence === 'draining' ? { kind: 'draining' } : { kind: 'listed' };
}

/** Another incarnation under the same id holds and knows nothing of the one before. */
export function isNewIncarnation(known: Upstream, listed: Registration): boolean {
  const { incarnationStartedAtMs, address } = known.registration;
  const hasNewStart =
    incarnationStartedAtMs !== undefined &&
    listed.incarnationStartedAtMs !== undefined &&
    listed.incarnationStartedAtMs > incarnationStartedAtMs;
  return hasNewStart || listed.address !== address;
}

/** A change of the list for an upstream that is known. One that drains stays away in this incarnation. */
export function applyRegistration(known: Upstream, listed: Registration, now: task.Instant): void {
  if (known.registrationState.kind === 'gone' && listed.presence === 'ready') requireProbe(known);
  Object.assign(known, {
    registration: listed,
    registrationState:
      known.registrationState.kind === 'draining'
        ? known.registrationState
        : registrationStateOf(listed),
    coldUntilMs:
      listed.coldRemainingMs > 0 ? now.monotonicMs + listed.coldRemainingMs : known.coldUntilMs,
  });
  listed.models.forEach(({ model, version }) => recordVersion(known, model, version));
}

/** An entry that comes back may be a late write of one that left: a probe has to succeed first. */
function requireProbe(known: Upstream): void {
  Object.assign(known, { reachability: { kind: 'silent' } });
}

/** Versions only grow; a list that lags does not take one back. */
export function recordVersion(known: Upstream, model: string, version: number): void {
  if (version <= (known.versions.get(model) ?? 0)) return;
  known.versions.set(model, version);
  known.recentlySentParts.clear();
}

/** Parts that were just sent there, the newest last: the oldest are forgotten first. */
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

export function addToFaultScore(known: Upstream, weight: number, nowMs: number): void {
  Object.assign(known, {
    faultScore: currentFaultScore(known, nowMs) + weight,
    faultScoreAtMs: nowMs,
  });
}
