/** `medlarctl upstream out|in`: takes an upstream out of service, or back. */
import * as core from '@medlarweir/core';
import * as neverthrow from 'neverthrow';

import * as change from '../change.js';
import * as registry from '../registry.js';

registry.register({
  name: 'upstream',
  usage: 'out|in NAME',
  summary: 'takes an upstream out of service, or back; its runs finish',
  run: setUpstreamPresence,
});

async function setUpstreamPresence({
  platform,
  positionals,
  flags,
}: registry.Input): registry.Outcome {
  const [presence, name = ''] = positionals;
  if (presence !== 'in' && presence !== 'out') return fail('expected `out NAME` or `in NAME`');
  const base = await change.readActive(platform);
  if (base.isErr()) return neverthrow.err(base.error);
  const { configuration } = base.value;
  if (!configuration?.upstreams.some((each) => each.name === name)) {
    return fail(`expected a configured name; found "${name}"`);
  }
  const upstreams: core.configuration.Upstream[] = configuration.upstreams.map((each) =>
    each.name === name ? { ...each, presence } : each,
  );
  const generation = configuration.generation + 1;
  return change.applyAndReport(
    platform,
    base.value,
    { ...configuration, generation, upstreams },
    change.attributionFrom(flags),
  );
}

function fail(detail: string) {
  return neverthrow.err(core.results.failure('wrongUse', `upstream: ${detail}`));
}
