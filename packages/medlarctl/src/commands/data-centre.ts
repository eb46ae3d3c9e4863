/** `medlarctl data-centre out|in`: takes a data centre out of service, or back. */
import * as core from '@medlarweir/core';
import * as neverthrow from 'neverthrow';

import * as change from '../change.js';
import * as registry from '../registry.js';

registry.register({
  name: 'data-centre',
  usage: 'out|in NAME',
  summary: 'takes a data centre out of service, or back',
  run: setDataCentrePresence,
});

async function setDataCentrePresence({
  platform,
  positionals,
  flags,
}: registry.Input): registry.Outcome {
  const [presence, name = ''] = positionals;
  if (presence !== 'in' && presence !== 'out') return fail('expected `out NAME` or `in NAME`');
  const base = await change.readActive(platform);
  if (base.isErr()) return neverthrow.err(base.error);
  const { configuration } = base.value;
  if (!configuration?.dataCentres.some((each) => each.name === name)) {
    return fail(`expected a configured name; found "${name}"`);
  }
  const dataCentres: core.configuration.DataCentre[] = configuration.dataCentres.map((each) =>
    each.name === name ? { ...each, presence } : each,
  );
  const generation = configuration.generation + 1;
  return change.applyAndReport(
    platform,
    base.value,
    { ...configuration, generation, dataCentres },
    change.attributionFrom(flags),
  );
}

function fail(detail: string) {
  return neverthrow.err(core.results.failure('wrongUse', `data-centre: ${detail}`));
}
