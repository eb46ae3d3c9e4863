/** What other tasks are told of the fleet. */
import type * as task from '../kernel/task.js';
import type * as gatewayMessages from '../messages/gateway.js';
import type * as view from '../rollouts/view.js';
import * as sharedContext from '../shared-context/index.js';
import type * as decide from './decide.js';
import type * as fleet from './state.js';
import type * as upstreams from './upstream.js';

type ToRollouts = Extract<decide.Command, { kind: 'tell-rollouts' }>;

export function toRollouts({ listing }: fleet.State): ToRollouts {
  const serving = [...listing.upstreams.values()].filter(
    ({ standing, versions }) => standing.kind === 'listed' && versions.size > 0,
  );
  return {
    kind: 'tell-rollouts',
    upstreams: serving.map(({ listed, versions, reach }) => ({
      id: listed.id,
      address: listed.address,
      versions: Object.fromEntries(versions),
      isReachable: reach.kind === 'answers',
    })),
  };
}

/** What has become of the upstreams, for the journal. */
export function describe(
  state: fleet.State,
  changed: readonly string[],
): readonly decide.Command[] {
  return changed.flatMap((id): readonly decide.Command[] => {
    const upstream = state.listing.upstreams.get(id);
    if (!upstream) return [];
    return [{ kind: 'note-upstream', id, text: `now ${describeStanding(upstream)}`, ageMs: 0 }];
  });
}

function describeStanding({ standing, versions }: upstreams.Upstream): string {
  return [standing.kind, ...[...versions].map(([model, version]) => `${model}@${version}`)].join(
    ' ',
  );
}

/** A probe for an upstream that is listed and silent. */
export function probeFor(
  { services }: fleet.State,
  { listed, standing, reach }: upstreams.Upstream,
): readonly gatewayMessages.Probe[] {
  const service = services.get(listed.service);
  if (!service || standing.kind !== 'listed' || reach.kind !== 'silent') return [];
  const { id: upstream, address } = listed;
  return [{ kind: 'health', upstream, address, path: service.healthPath }];
}

/**
 * A fetch names weights that its upstream has, so none of replaced context begins once no upstream
 * has them; those under way have ended by then, see `FETCH_TIMEOUT_MS`.
 */
const SETTLE_MS = 1_500;

/** Parts named for each store at one time; the rest follows once these are gone. */
const MAX_PARTS = 400;

/** Parts under salts of weights that no upstream has any more. */
export function replaced(
  { holdings, lowest, contextStores }: fleet.State,
  now: task.Instant,
): readonly view.Held[] {
  if (now.monotonicMs - lowest.sinceMs < SETTLE_MS) return [];
  return contextStores.flatMap(({ name }) => {
    const holding = holdings.stores.get(name);
    if (!holding?.isReachable || holding.epoch === undefined) return [];
    const parts = [...holding.parts.values()].filter(({ salt }) =>
      isReplaced(salt, lowest.versions),
    );
    if (parts.length === 0) return [];
    return [{ store: name, epoch: holding.epoch, parts: parts.slice(0, MAX_PARTS) }];
  });
}

function isReplaced(text: string, inUse: ReadonlyMap<string, number>): boolean {
  const salt = sharedContext.salt.parse(text);
  return salt !== undefined && salt.version < (inUse.get(salt.model) ?? 0);
}

/** The lowest weights of each model that an upstream may still have; gone ones cannot come back with older. */
export function lowestVersions(
  all: Iterable<upstreams.Upstream>,
  named: fleet.State['named'],
): ReadonlyMap<string, number> {
  const lowest = new Map([...named].map(([model, { version }]) => [model, version]));
  [...all]
    .filter(({ standing }) => standing.kind !== 'gone')
    .forEach(({ versions }) =>
      versions.forEach((version, model) => {
        lowest.set(model, Math.min(version, lowest.get(model) ?? version));
      }),
    );
  return lowest;
}

/** Notes since when no upstream has weights below the lowest ones. */
export function withLowest(state: fleet.State, now: task.Instant): fleet.State {
  const versions = lowestVersions(state.listing.upstreams.values(), state.named);
  const known = state.lowest.versions;
  const isSame =
    versions.size === known.size &&
    [...versions].every(([model, version]) => known.get(model) === version);
  return isSame ? state : { ...state, lowest: { versions, sinceMs: now.monotonicMs } };
}
