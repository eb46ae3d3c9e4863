/** Determines which upstreams are eligible for new work. */
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
  /** Whether the active configuration was confirmed recently. */
  isConfigurationConfirmed: boolean;
};

/**
 * Returns the upstreams of a service that are eligible for new work. While its configuration is not
 * recently confirmed, an instance sends no work to other data centres, because one of them may have
 * been taken out of service.
 */
export function listUpstreams(
  inputs: Inputs,
  service: string,
  excluded: readonly string[],
): readonly schema.Upstream[] {
  const inService = new Set(
    inputs.configuration.dataCentres
      .filter(({ presence }) => presence === 'in')
      .map(({ name }) => name),
  );
  return inputs.configuration.upstreams.filter(
    (upstream) =>
      upstream.services.includes(service) &&
      upstream.presence === 'in' &&
      (inputs.isConfigurationConfirmed || upstream.dataCentre === inputs.ownDataCentre) &&
      inService.has(upstream.dataCentre) &&
      !excluded.includes(upstream.name) &&
      load.canTake(inputs.load, upstream, inputs.now),
  );
}

/** Returns the eligible upstreams for one request, in order of preference at equal cost. */
export function listInPreferenceOrder(
  inputs: Inputs,
  service: string,
  excluded: readonly string[],
): readonly schema.Upstream[] {
  return load.orderByTwoChoices(inputs.load, listUpstreams(inputs, service, excluded));
}
