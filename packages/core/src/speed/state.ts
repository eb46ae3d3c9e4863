/** The models of services, in the state of the fleet task. */
import type * as fleet from '../fleet/state.js';
import * as serviceModel from './service-model.js';
import type * as types from './types.js';

/** Creates the model of a service that has none; there are as many as services of listed upstreams. */
export function serviceModelOf(
  { speeds }: Pick<fleet.State, 'speeds'>,
  service: string,
): types.ServiceModel {
  const known = speeds.get(service);
  if (known) return known;
  const created = serviceModel.create();
  speeds.set(service, created);
  return created;
}
