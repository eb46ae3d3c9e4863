/** What routing tells admission: the slots that are free for each service, as this instance sees it. */
import * as load from '../load/index.js';
import * as eligible from './eligible.js';

export type ServiceCapacity = { service: string; freeSlots: number; upstreams: number };

export function ofServices(views: eligible.Views): readonly ServiceCapacity[] {
  return views.configuration.services.map(({ name }) => {
    const upstreams = eligible.available(views, name, []);
    const freeSlots = upstreams.reduce((sum, each) => sum + load.freeSlots(views.load, each), 0);
    return { service: name, freeSlots, upstreams: upstreams.length };
  });
}
