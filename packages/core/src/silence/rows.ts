/** Sums up which upstreams do not answer. */
import * as reach from '../fleet/reach.js';
import type * as fleet from '../fleet/state.js';
import type * as peerWork from '../fleet/peer-work.js';
import type * as types from './types.js';

/**
 * Two instances of one data centre suffice as evidence, so higher counts are not told. Thus a sum changes
 * only when it matters.
 */
const MAX_REPORTERS = 2;
/** An instance that finds more of a service's upstreams silent than this has lost its own network. */
const MAX_SILENT_SHARE = 0.5;

/** What this instance has found itself; nothing while it reaches no upstream, as that says nothing of them. */
export function own(state: fleet.State): readonly types.Row[] {
  if (reach.isCutOff(state)) return [];
  const { registry, dataCentre } = state;
  const listed = [...registry.upstreams.values()].filter(
    ({ registrationState }) => registrationState.kind === 'listed',
  );
  const silent = listed.filter(({ reachability }) => reachability.kind === 'silent');
  const isPlausible = (service: string) => {
    const isOfService = ({ registration }: (typeof listed)[number]) =>
      registration.service === service;
    return (
      silent.filter(isOfService).length <= listed.filter(isOfService).length * MAX_SILENT_SHARE
    );
  };
  return silent
    .filter(({ registration }) => isPlausible(registration.service))
    .map(({ registration }) => ({
      upstream: registration.id,
      reporters: new Map([[dataCentre, 1]]),
    }));
}

/** The rows of this instance and those that were heard in these scopes, in order of the upstreams' ids. */
export function total(state: fleet.State, scopes: readonly peerWork.Scope[]): readonly types.Row[] {
  const heard = [...state.silence.heardFrom.values()]
    .filter(({ scope }) => scopes.includes(scope))
    .flatMap(({ rows }) => rows);
  const sums = new Map<string, Map<string, number>>();
  [...own(state), ...heard].forEach(({ upstream, reporters }) => {
    const sum = sums.get(upstream) ?? new Map<string, number>();
    reporters.forEach((count, dataCentre) =>
      sum.set(dataCentre, Math.min(MAX_REPORTERS, (sum.get(dataCentre) ?? 0) + count)),
    );
    sums.set(upstream, sum);
  });
  return [...sums]
    .sort(([a], [b]) => (a < b ? -1 : 1))
    .map(([upstream, reporters]) => ({ upstream, reporters }));
}
