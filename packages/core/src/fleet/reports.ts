/** What other tasks are told of the fleet. */
import type * as task from '../kernel/task.js';
import type * as gatewayMessages from '../messages/gateway.js';
import type * as inputs from '../rollouts/inputs.js';
import * as sharedContext from '../shared-context/index.js';
import type * as decide from './decide.js';
import type * as fleet from './state.js';
import type * as upstreams from './upstream.js';

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

/** What has become of the upstreams, for the journal. */
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

function describeRegistrationState({ registrationState, versions }: upstreams.Upstream): string {
  return [
    registrationState.kind,
    ...[...versions].map(([model, version]) => `${model}@${version}`),
  ].join(' ');
}

/** A probe for an upstream that is listed and silent. */
export function probeFor(
  { services }: fleet.State,
  { registration, registrationState, reachability }: upstreams.Upstream,
): readonly gatewayMessages.Probe[] {
  const service = services.get(registration.service);
  if (!service || registrationState.kind !== 'listed' || reachability.kind !== 'silent') return [];
  const { id: upstream, address } = registration;
  return [{ kind: 'health', upstream, address, path: service.healthPath }];
}

/**
 * A fetch names weights that its upstream has, so none of replaced context begins once no upstream
 * has them; those under way have ended by then, see `FETCH_TIMEOUT_MS`.
 */
const OBSOLETE_GRACE_MS = 1_500;

/** Parts named for each store at one time; the rest follows once these are gone. */
const MAX_OBSOLETE_PARTS_PER_STORE = 400;

/** Parts under salts of weights that no upstream has any more. */
export function obsoleteParts(
  { inventory, oldestInUse, contextStores }: fleet.State,
  now: task.Instant,
): readonly inputs.ObsoleteParts[] {
  if (now.monotonicMs - oldestInUse.sinceMs < OBSOLETE_GRACE_MS) return [];
  return contextStores.flatMap(({ name }) => {
    const holding = inventory.stores.get(name);
    if (!holding?.isReachable || holding.epoch === undefined) return [];
    const parts = [...holding.parts.values()].filter(({ salt }) =>
      isObsolete(salt, oldestInUse.versions),
    );
    if (parts.length === 0) return [];
    return [
      { store: name, epoch: holding.epoch, parts: parts.slice(0, MAX_OBSOLETE_PARTS_PER_STORE) },
    ];
  });
}

function isObsolete(text: string, inUse: ReadonlyMap<string, number>): boolean {
  const salt = sharedContext.salt.parse(text);
  return salt !== undefined && salt.version < (inUse.get(salt.model) ?? 0);
}

/** The lowest weights of each model that an upstream may still have; gone ones cannot come back with older. */
export function oldestVersionsInUse(
  all: Iterable<upstreams.Upstream>,
  named: fleet.State['targetVersions'],
): ReadonlyMap<string, number> {
  const lowest = new Map([...named].map(([model, { version }]) => [model, version]));
  [...all]
    .filter(({ registrationState }) => registrationState.kind !== 'gone')
    .forEach(({ versions }) =>
      versions.forEach((version, model) => {
        lowest.set(model, Math.min(version, lowest.get(model) ?? version));
      }),
    );
  return lowest;
}

/** Notes since when no upstream has weights below the lowest ones. */
export function withOldestInUse(state: fleet.State, now: task.Instant): fleet.State {
  const versions = oldestVersionsInUse(state.registry.upstreams.values(), state.targetVersions);
  const known = state.oldestInUse.versions;
  const isSame =
    versions.size === known.size &&
    [...versions].every(([model, version]) => known.get(model) === version);
  return isSame ? state : { ...state, oldestInUse: { versions, sinceMs: now.monotonicMs } };
}
