/** Which upstreams may be given new work at all. */
import type * as schema from '../configuration/schema.js';
import type * as keptContext from '../kept-context/index.js';
import type * as task from '../kernel/task.js';
import * as load from '../load/index.js';

export type Inputs = {
  configuration: schema.Configuration;
  directory: keptContext.directory.Directory;
  load: load.LoadView;
  ownDataCentre: string;
  now: task.Instant;
  /** Whether the configuration in force was confirmed lately. */
  isConfigurationConfirmed: boolean;
};

/**
 * Upstreams of a service that may be given new work. An instance whose configuration was not
 * confirmed lately sends no work to other data centres: one of them may have been taken out.
 */
export function listUpstreams(
  views: Inputs,
  service: string,
  excluded: readonly string[],
): readonly schema.Upstream[] {
  const inService = new Set(
    views.configuration.dataCentres
      .filter(({ presence }) => presence === 'in')
      .map(({ name }) => name),
  );
  return views.configuration.upstreams.filter(
    (upstream) =>
      upstream.services.includes(service) &&
      upstream.presence === 'in' &&
      (views.isConfigurationConfirmed || upstream.dataCentre === views.ownDataCentre) &&
      inService.has(upstream.dataCentre) &&
      !excluded.includes(upstream.name) &&
      load.canTake(views.load, upstream, views.now),
  );
}

/** The same for one request, in the order in which upstreams of equal cost are to be preferred. */
export function listInPreferenceOrder(
  views: Inputs,
  service: string,
  excluded: readonly string[],
): readonly schema.Upstream[] {
  return load.orderByTwoChoices(views.load, listUpstreams(views, service, excluded));
}
