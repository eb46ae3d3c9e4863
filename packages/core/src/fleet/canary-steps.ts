/** What the fleet task does for canary releases: applies them, and reports the versions of its upstreams. */
import * as applied from '../canary/applied.js';
import type * as canary from '../canary/types.js';
import type * as task from '../kernel/task.js';
import type * as decide from './decide.js';
import type * as placement from './placement.js';
import type * as fleet from './state.js';
import type * as upstreams from './upstream.js';

/** Applies the releases, and says so at once: the step counts as in force from then on. */
export function setReleases(
  state: fleet.State,
  releases: readonly canary.Release[],
): readonly decide.Command[] {
  applied.setReleases(state.canary, releases);
  return report(state);
}

/** Records which software versions are on the list. */
export function recordVersions(state: fleet.State, now: task.Instant): void {
  const listed = [...state.registry.upstreams.values()]
    .filter(({ registrationState }) => registrationState.kind !== 'gone')
    .map(({ registration }) => registration);
  applied.recordVersions(state.canary, listed, now.monotonicMs);
}

/** Versions and requests in flight of the services that have a release; nothing without one. */
export function report({ canary: { releases }, registry }: fleet.State): readonly decide.Command[] {
  if (!releases || releases.size === 0) return [];
  const byService = new Map<string, upstreams.Upstream[]>();
  registry.upstreams.forEach((upstream) => {
    const { service } = upstream.registration;
    if (!releases.has(service)) return;
    byService.set(service, [...(byService.get(service) ?? []), upstream]);
  });
  const services = [...releases.values()].map(({ service, step, stage }) => ({
    service,
    step: stage === 'stopped' ? 0 : step,
    versions: versionsOf(byService.get(service) ?? []),
  }));
  return [{ kind: 'report-versions', services }];
}

/** Also counts what is in flight at an upstream that has left the list. */
function versionsOf(found: readonly upstreams.Upstream[]): canary.ServiceVersions['versions'] {
  const versions = new Map<string, { upstreams: number; inFlight: number }>();
  found.forEach(({ registration, registrationState, inFlight }) => {
    const isListed = registrationState.kind !== 'gone';
    if (!isListed && inFlight.size === 0) return;
    const before = versions.get(registration.softwareVersion) ?? { upstreams: 0, inFlight: 0 };
    versions.set(registration.softwareVersion, {
      upstreams: before.upstreams + (isListed ? 1 : 0),
      inFlight: before.inFlight + inFlight.size,
    });
  });
  return [...versions].map(([softwareVersion, counts]) => ({ softwareVersion, ...counts }));
}

/** Which upstreams of its service the request may go to, in the order in which they are tried. */
export function divide({
  state,
  service,
  placementRequest,
  now,
}: placement.Inputs): applied.Division {
  const { requestId, excludedUpstreams, softwareVersion } = placementRequest;
  // A stream goes on at its version, whatever the release says.
  if (softwareVersion !== undefined || !state.canary.bounds) return applied.UNDIVIDED;
  const triedVersions = excludedUpstreams.flatMap(
    (id) => state.registry.upstreams.get(id)?.registration.softwareVersion ?? [],
  );
  const members = state.senders.length;
  return applied.divide(
    state.canary,
    service.name,
    { requestId, triedVersions, members },
    now.monotonicMs,
  );
}

export function recordPlaced(
  { state, service, placementRequest }: placement.Inputs,
  { registration: { softwareVersion } }: upstreams.Upstream,
): void {
  const isFirst =
    placementRequest.excludedUpstreams.length === 0 &&
    placementRequest.softwareVersion === undefined;
  applied.recordPlaced(state.canary, service.name, { isFirst, softwareVersion });
}
