/** Placements that found no upstream: the reason, and when to ask again. */
import type * as task from '../kernel/task.js';
import type * as messages from '../messages/gateway.js';
import * as eligibility from './eligibility.js';

/** The upstream with the earliest first token, for a request that exceeds the limit of wait everywhere. */
export type Load = {
  waitMs: number;
  maxWaitMs: number;
  /** Time that it takes for the prompt itself. */
  readMs: number;
  /** Work of the request, in the units of `core/shares`. */
  work: number;
};

export type Refusal = {
  kind: 'none';
  reason: messages.PlacementRefusal;
  /** Expected time until an upstream can take the request, where that can be told. */
  freeInMs: number | undefined;
  /** Why upstreams were left out, or the evidence against a part of the prompt. */
  detail?: string;
  /** Under predictive load control only. */
  load?: Load | undefined;
};

export function none(reason: messages.PlacementRefusal, freeInMs?: number): Refusal {
  return { kind: 'none', reason, freeInMs };
}

/** No upstream may get the request at present; the first that may soon gives the reason. */
export function noneAvailable(
  exclusions: readonly eligibility.Exclusion[],
  now: task.Instant,
): Refusal {
  const detail = eligibility.summarize(exclusions);
  const next = eligibility.firstToEnd(exclusions);
  if (isSoftwareVersionGone(exclusions)) return { ...none('software-version-gone'), detail };
  if (!next) return { ...none('none-usable'), detail };
  const isKnown = Number.isFinite(next.untilMs);
  const freeInMs = isKnown ? Math.ceil(next.untilMs - now.monotonicMs) : undefined;
  return { ...none(next.kind, freeInMs), detail };
}

/** This instance reaches none of the service's upstreams; peers may. */
export function allSilent(exclusions: readonly eligibility.Exclusion[]): Refusal {
  return { ...none('cut-off'), detail: eligibility.summarize(exclusions) };
}

function isSoftwareVersionGone(exclusions: readonly eligibility.Exclusion[]): boolean {
  const isOther = ({ kind }: eligibility.Exclusion) => kind === 'other-software-version';
  return (
    exclusions.some(isOther) &&
    exclusions.every((each) => isOther(each) || each.kind === 'not-listed')
  );
}
