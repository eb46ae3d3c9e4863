/** What routing tells admission: the slots that are free for each service, as this instance sees it. */
import * as load from '../load/index.js';
import * as eligibility from './eligibility.js';

export type ServiceCapacity = { service: string; freeSlots: number; upstreams: number };

export function ofServices(views: eligibility.Inputs): readonly ServiceCapacity[] {
  return views.configuration.services.map(({ name }) => {
    const upstreams = eligibility.listUpstreams(views, name, []);
    const freeSlots = upstreams.reduce(
      (sum, each) => sum + load.estimateFreeSlots(views.load, each),
      0,
    );
    return { service: name, freeSlots, upstreams: upstreams.length };
  });
}
