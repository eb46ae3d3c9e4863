/** Index of the configured upstreams by name and by service; a decision need not scan them all. */
import type * as schema from '../configuration/schema.js';

export type Index = {
  byName: ReadonlyMap<string, schema.Upstream>;
  byService: ReadonlyMap<string, readonly schema.Upstream[]>;
};

export function build(configuration: schema.Configuration | undefined): Index {
  const byName = new Map<string, schema.Upstream>();
  const byService = new Map<string, schema.Upstream[]>();
  configuration?.upstreams.forEach((upstream) => {
    byName.set(upstream.name, upstream);
    upstream.services.forEach((service) => {
      const found = byService.get(service) ?? [];
      found.push(upstream);
      byService.set(service, found);
    });
  });
  return { byName, byService };
}
