/** Whether placement and refusals of a service follow predicted delays, or the rules from before them. */
import type * as fleet from '../fleet/state.js';

/** Name of the feature that enables predictive load control for every service. */
const FEATURE = 'pressure';

/** `service` is the name of a service; one that no table lists is not predictive by itself. */
export function isPredictive(
  { features, slowdownServices }: Pick<fleet.State, 'features' | 'slowdownServices'>,
  service: string,
): boolean {
  return features.has(FEATURE) || slowdownServices.has(service);
}
