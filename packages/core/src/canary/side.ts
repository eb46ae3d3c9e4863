/**
 * Which version of its service's upstreams a request may go to. Every instance assigns a request by
 * the hash of its id, so that the small shares of all instances add up without messages. Each instance
 * also keeps its own count below the bound, since callers choose the ids.
 */
import * as rendezvous from '../membership/rendezvous.js';
import * as results from '../results/index.js';
import type * as canary from './types.js';

/** Requests of a service that this instance placed since it knows of the release. */
export type Exposure = { requests: number; sentToNext: number };

export const NO_EXPOSURE: Exposure = { requests: 0, sentToNext: 0 };

/** The upstreams of a service that may get a request, by their software version. */
export type Assignment = { kind: 'any' } | { kind: 'next' } | { kind: 'previous' };

export type Attempt = {
  requestId: string;
  /** Whether an attempt before this one went to the new version. */
  hasTriedNext: boolean;
};

/** What one instance may send to an unproven version. */
export type Allowance = { share: number; requests: number };

/**
 * The assignments to try in order. A request of the old side never goes to a new version that is
 * unproven; one goes there at most once, so that its retries do not count more than once either.
 */
export function assign(
  release: canary.Release,
  exposure: Exposure,
  attempt: Attempt,
  allowance: Allowance,
): readonly Assignment[] {
  const { stage } = release;
  switch (stage) {
    case 'stopped':
      return [{ kind: 'previous' }];
    case 'shifted':
      return [{ kind: 'next' }];
    case 'closed':
      return [{ kind: 'any' }];
    case 'unproven':
      return isAssigned(release, attempt) && mayExpose(exposure, allowance)
        ? [{ kind: 'next' }, { kind: 'previous' }]
        : [{ kind: 'previous' }];
    case 'shifting':
      return isAssigned(release, attempt)
        ? [{ kind: 'next' }, { kind: 'previous' }]
        : [{ kind: 'previous' }];
    default:
      return results.assertNever(stage);
  }
}

function mayExpose({ requests, sentToNext }: Exposure, allowance: Allowance): boolean {
  return sentToNext + 1 <= allowance.share * (requests + 1) + allowance.requests;
}

function isAssigned(
  { service, to, share }: canary.Release,
  { requestId, hasTriedNext }: Attempt,
): boolean {
  return !hasTriedNext && rendezvous.hashFraction(`${service}\n${to}`, requestId) < share;
}

/** Whether an upstream of this version may get a request with the assignment. */
export function allows(
  { to, shunned }: Pick<canary.Release, 'to' | 'shunned'>,
  { kind }: Assignment,
  softwareVersion: string,
): boolean {
  if (shunned.includes(softwareVersion)) return false;
  switch (kind) {
    case 'any':
      return true;
    case 'next':
      return softwareVersion === to;
    case 'previous':
      return softwareVersion !== to;
    default:
      return results.assertNever(kind);
  }
}

/** Counts a placed request once, and each send to the new version. */
export function count(
  { requests, sentToNext }: Exposure,
  { isFirst, isNext }: { isFirst: boolean; isNext: boolean },
): Exposure {
  return {
    requests: requests + (isFirst ? 1 : 0),
    sentToNext: sentToNext + (isNext ? 1 : 0),
  };
}
