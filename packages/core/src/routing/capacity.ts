/** Free slots per service, as estimated by this instance; routing reports them to admission. */
import * as load from '../load/index.js';
import * as eligibility from './eligibility.js';

export type ServiceCapacity = { service: string; freeSlots: number; upstreams: number };

export function ofServices(inputs: eligibility.Inputs): readonly ServiceCapacity[] {
  return inputs.configuration.services.map(({ name }) => {
    const upstreams = eligibility.listUpstreams(inputs, name, []);
    const freeSlots = upstreams.reduce(
      (sum, each) => sum + load.estimateFreeSlots(inputs.load, each),
      0,
    );
    return { service: name, freeSlots, upstreams: upstreams.length };
  });
}
