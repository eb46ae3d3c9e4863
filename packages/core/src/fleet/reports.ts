/** Builds what the fleet task reports to other tasks: upstream states, probes and obsolete context. */
import type * as task from '../kernel/task.js';
import type * as gatewayMessages from '../messages/gateway.js';
import type * as inputs from '../rollouts/inputs.js';
import * as sharedContext from '../shared-context/index.js';
import type * as decide from './decide.js';
import type * as fleet from './state.js';
import * as upstreams from './upstream.js';

type RolloutReport = Extract<decide.Command, { kind: 'report-to-rollouts' }>;

export function reportToRollouts({ registry }: fleet.State): RolloutReport {
  const serving = [...registry.upstreams.values()].filter(
    ({ registrationState, versions }) => registrationState.kind === 'listed' && versions.size > 0,
  );
  return {
    kind: 'report-to-rollouts',
    upstreams: serving.map(({ registration, versions, reachability }) => ({
      id: registration.id,
      address: registration.address,
      versions: Object.fromEntries(versions),
      isReachable: reachability.kind === 'answers',
    })),
  };
}

/** Commands that record the new state of each changed upstream in the journal. */
export function recordChanges(
  state: fleet.State,
  changed: readonly string[],
): readonly decide.Command[] {
  return changed.flatMap((id): readonly decide.Command[] => {
    const upstream = state.registry.upstreams.get(id);
    if (!upstream) return [];
    return [
      {
        kind: 'record-upstream-change',
        id,
        text: `now ${describeRegistrationState(upstream)}`,
        ageMs: 0,
      },
    ];
  });
}

/** What the upstream says of itself, for the journal. */
export function selfReportOf({ namedLimit, isLeaving }: upstreams.Upstream): string {
  const limit = namedLimit ? `names a limit of ${namedLimit.perS}/s` : 'names no limit';
  return isLeaving ? `${limit}, says that it is leaving` : limit;
}

/** A command that records what the upstream says of itself, if that has changed. */
export function recordSelfReport(
  upstream: upstreams.Upstream,
  before: string,
): readonly decide.Command[] {
  const text = selfReportOf(upstream);
  const { id } = upstream.registration;
  return text === before ? [] : [{ kind: 'record-upstream-change', id, text, ageMs: 0 }];
}

function describeRegistrationState({ registrationState, versions }: upstreams.Upstream): string {
  return [
    registrationState.kind,
    ...[...versions].map(([model, version]) => `${model}@${version}`),
  ].join(' ');
}

/** A health probe for an upstream that is listed, silent and not paused; none otherwise. */
export function probeFor(
  { services }: fleet.State,
  upstream: upstreams.Upstream,
  now: task.Instant,
): readonly gatewayMessages.Probe[] {
  const { registration, registrationState, reachability } = upstream;
  if (upstreams.isPaused(upstream, now)) return [];
  const service = services.get(registration.service);
  if (!service || registrationState.kind !== 'listed' || reachability.kind !== 'silent') return [];
  const { id, address } = registration;
  return [{ kind: 'health', upstream: id, address, path: service.healthPath }];
}

/** Only engines have a report that tells that they are up. */
export function livenessProbe(
  { registry, services }: fleet.State,
  id: string,
  now: task.Instant,
): readonly decide.Command[] {
  const upstream = registry.upstreams.get(id);
  if (!upstream || upstreams.isPaused(upstream, now)) return [];
  const { address, service } = upstream.registration;
  const kind = services.get(service)?.engine ? 'liveness' : 'connection';
  return [{ kind: 'probe', probe: { kind, upstream: id, address } }];
}

/**
 * An upstream fetches only context of its own weights, so no fetch of obsolete context starts once no
 * upstream has those weights. Fetches in flight have ended after this time, see `FETCH_TIMEOUT_MS`.
 */
const OBSOLETE_GRACE_MS = 1_500;

/** Limit of one report for each store; further parts follow once these are freed. */
const MAX_OBSOLETE_PARTS_PER_STORE = 400;

/** Parts in each store whose salt has weights that no upstream uses any more. */
export function obsoleteParts(
  { inventory, oldestInUse, contextStores }: fleet.State,
  now: task.Instant,
): readonly inputs.ObsoleteParts[] {
  if (now.monotonicMs - oldestInUse.sinceMs < OBSOLETE_GRACE_MS) return [];
  return contextStores.flatMap(({ name }) => {
    const contents = inventory.stores.get(name);
    if (!contents?.isReachable || contents.epoch === undefined) return [];
    const obsoleteSalts = new Set(
      [...contents.salts.keys()].filter((salt) => isObsolete(salt, oldestInUse.versions)),
    );
    if (obsoleteSalts.size === 0) return [];
    const parts = [...contents.parts.values()].filter(({ salt }) => obsoleteSalts.has(salt));
    return [
      { store: name, epoch: contents.epoch, parts: parts.slice(0, MAX_OBSOLETE_PARTS_PER_STORE) },
    ];
  });
}

function isObsolete(saltText: string, inUse: ReadonlyMap<string, number>): boolean {
  const salt = sharedContext.salt.parse(saltText);
  return salt !== undefined && salt.version < (inUse.get(salt.model) ?? 0);
}

/** Lowest version of each model that an upstream may still have; gone upstreams cannot return with older ones. */
export function oldestVersionsInUse(
  all: Iterable<upstreams.Upstream>,
  targets: fleet.State['targetVersions'],
): ReadonlyMap<string, number> {
  const lowest = new Map([...targets].map(([model, { version }]) => [model, version]));
  [...all]
    .filter(({ registrationState }) => registrationState.kind !== 'gone')
    .forEach(({ versions }) =>
      versions.forEach((version, model) => {
        lowest.set(model, Math.min(version, lowest.get(model) ?? version));
      }),
    );
  return lowest;
}

/** Updates the lowest versions in use and the time since which no upstream has older ones. */
export function withOldestInUse(state: fleet.State, now: task.Instant): fleet.State {
  const versions = oldestVersionsInUse(state.registry.upstreams.values(), state.targetVersions);
  const known = state.oldestInUse.versions;
  const isSame =
    versions.size === known.size &&
    [...versions].every(([model, version]) => known.get(model) === version);
  return isSame ? state : { ...state, oldestInUse: { versions, sinceMs: now.monotonicMs } };
}
