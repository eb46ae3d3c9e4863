/** The releases as the fleet task applies them to placements. Updated in place by the fleet task. */
import * as side from './side.js';
import type * as canary from './types.js';

/** Time within which an order reaches an instance that already knows upstreams of its version. */
const ORDER_DELAY_MS = 4_000;
/** The allowance holds for this many restarts of all instances. */
const RESTARTS = 4;

export type Applied = {
  /** Undefined without a limit on exposure: then versions are not told apart. */
  bounds: Pick<canary.Bounds, 'exposureShare' | 'exposureSlack'> | undefined;
  /** Undefined until the orders have been read. */
  releases: ReadonlyMap<string, canary.Release> | undefined;
  exposures: Map<string, side.Exposure>;
  /** When each software version of a service was first listed, in monotonic ms. */
  appearedAtMs: Map<string, Map<string, number>>;
};

/** An upstream, as far as its software version is concerned. */
export type Versioned = {
  service: string;
  softwareVersion: string;
  incarnationStartedAtMs: number | undefined;
};

export function create(bounds: {
  exposureShare?: number | undefined;
  exposureSlack?: number | undefined;
}): Applied {
  const { exposureShare, exposureSlack = 0 } = bounds;
  return {
    bounds: exposureShare === undefined ? undefined : { exposureShare, exposureSlack },
    releases: undefined,
    exposures: new Map(),
    appearedAtMs: new Map(),
  };
}

/** A release to another version starts with a new count. */
export function setReleases(applied: Applied, releases: readonly canary.Release[]): void {
  const before = applied.releases;
  releases.forEach(({ service, to }) => {
    if (before?.get(service)?.to !== to) applied.exposures.delete(service);
  });
  const byService = new Map(releases.map((each) => [each.service, each]));
  Object.assign(applied, { releases: byService });
}

/**
 * Records the versions on the list of upstreams. Of the versions that are there from the start, that of
 * the oldest upstream counts as the usual one.
 */
export function recordVersions(
  applied: Applied,
  listed: readonly Versioned[],
  nowMs: number,
): void {
  if (!applied.bounds) return;
  const byAge = [...listed].sort(
    (a, b) => (a.incarnationStartedAtMs ?? 0) - (b.incarnationStartedAtMs ?? 0),
  );
  const present = new Map<string, Set<string>>();
  byAge.forEach(({ service, softwareVersion }) => {
    const known = applied.appearedAtMs.get(service) ?? new Map<string, number>();
    if (!known.has(softwareVersion)) {
      known.set(softwareVersion, known.size === 0 ? -Infinity : nowMs);
    }
    applied.appearedAtMs.set(service, known);
    present.set(service, (present.get(service) ?? new Set()).add(softwareVersion));
  });
  applied.appearedAtMs.forEach((known, service) => {
    [...known.keys()]
      .filter((version) => present.get(service)?.has(version) !== true)
      .forEach((version) => known.delete(version));
  });
}

/** Which upstreams of a service a request may go to, in the order in which they are tried. */
export type Division = {
  release: canary.Release | undefined;
  /** Versions that appeared a moment ago, of which an order may be on its way. */
  held: ReadonlySet<string>;
  assignments: readonly side.Assignment[];
};

const ANY: side.Assignment = { kind: 'any' };
export const UNDIVIDED: Division = { release: undefined, held: new Set(), assignments: [ANY] };

export function divide(
  applied: Applied,
  service: string,
  attempt: { requestId: string; triedVersions: readonly string[]; members: number },
  nowMs: number,
): Division {
  const { bounds, appearedAtMs } = applied;
  const known = appearedAtMs.get(service);
  if (!bounds || !known || known.size === 0) return UNDIVIDED;
  const release = applied.releases?.get(service);
  if (!release) return holdNewest(applied, known, nowMs);
  const { to, shunned } = release;
  // Without another version there is nothing to compare with, and nowhere else to go.
  const isAlone = [...known.keys()].every((each) => each === to || shunned.includes(each));
  if (isAlone) {
    const isUsable = known.has(to) && !shunned.includes(to);
    return isUsable ? { release, held: new Set(), assignments: [{ kind: 'next' }] } : UNDIVIDED;
  }
  const assignments = side.assign(
    release,
    applied.exposures.get(service) ?? side.NO_EXPOSURE,
    {
      requestId: attempt.requestId,
      hasTriedNext: attempt.triedVersions.includes(release.to),
    },
    {
      share: bounds.exposureShare,
      requests: Math.floor(bounds.exposureSlack / (RESTARTS * Math.max(1, attempt.members))),
    },
  );
  const held = newestOf(applied, known, nowMs).filter((version) => version !== to);
  // An ended release does not keep an ordinary one from all requests.
  const isEnded = release.stage === 'closed' && held.length > 0;
  return {
    release,
    held: new Set(held),
    assignments: isEnded ? [{ kind: 'previous' }, ANY] : assignments,
  };
}

/**
 * Without an order, a version that appears beside another one gets no request for a moment, unless no
 * other upstream may take it. Afterwards it is an ordinary release.
 */
function holdNewest(applied: Applied, known: ReadonlyMap<string, number>, nowMs: number): Division {
  const held = newestOf(applied, known, nowMs);
  if (held.length === 0 || held.length === known.size) return UNDIVIDED;
  return { release: undefined, held: new Set(held), assignments: [{ kind: 'previous' }, ANY] };
}

/** The versions of which an order may be on its way. */
function newestOf(
  { releases }: Applied,
  known: ReadonlyMap<string, number>,
  nowMs: number,
): readonly string[] {
  const isNew = (appearedAtMs: number) =>
    releases === undefined ? appearedAtMs !== -Infinity : nowMs - appearedAtMs < ORDER_DELAY_MS;
  return [...known].flatMap(([version, atMs]) => (isNew(atMs) ? [version] : []));
}

export function allows(
  { release, held }: Division,
  assignment: side.Assignment,
  softwareVersion: string,
): boolean {
  if (assignment.kind !== 'any' && held.has(softwareVersion)) return false;
  if (!release) return true;
  // In an ended release, `previous` only leaves out the versions that are held.
  const isEnded = release.stage === 'closed' && assignment.kind === 'previous';
  return side.allows(release, isEnded ? ANY : assignment, softwareVersion);
}

/** Counts a request that was placed at an upstream of the version. */
export function recordPlaced(
  applied: Applied,
  service: string,
  { isFirst, softwareVersion }: { isFirst: boolean; softwareVersion: string },
): void {
  const release = applied.releases?.get(service);
  if (!release) return;
  const before = applied.exposures.get(service) ?? side.NO_EXPOSURE;
  const isNext = softwareVersion === release.to;
  applied.exposures.set(service, side.count(before, { isFirst, isNext }));
}
