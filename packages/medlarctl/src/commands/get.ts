/** `medlarctl get`: shows the active configuration, as tables or as JSON. */
import * as core from '@medlarweir/core';

import * as change from '../change.js';
import * as secrets from '../secrets.js';
import * as registry from '../registry.js';
import * as table from '../table.js';

registry.register({
  name: 'get',
  usage: '[--with-secrets]',
  summary: 'shows the configuration in force; --json for `apply`',
  flags: { 'with-secrets': { type: 'boolean' } },
  run: get,
});

async function get({ platform, flags }: registry.Input): registry.Outcome {
  const base = await change.readActive(platform);
  return base.map(({ configuration }) => {
    if (!configuration) return { text: 'nothing is configured yet', data: null };
    const isWhole = flags['with-secrets'] === true;
    const shown = isWhole ? configuration : secrets.redact(configuration);
    return { text: toTables(shown, isWhole).map(table.render).join('\n\n'), data: shown };
  });
}

type Configuration = core.configuration.Configuration;

function toTables(given: Configuration, isWhole: boolean): readonly table.Table[] {
  return [
    {
      title: `generation ${given.generation}: data centres`,
      header: ['name', 'region', 'presence'],
      rows: given.dataCentres.map(({ name, region, presence }) => [name, region, presence]),
    },
    accountsTable(given, isWhole),
    {
      title: 'services',
      header: ['name', 'kind', 'priority', 'model', 'version'],
      rows: given.services.map(toServiceRow),
    },
    {
      title: 'upstreams',
      header: ['name', 'kind', 'address', 'data centre', 'services', 'fencing', 'presence'],
      rows: given.upstreams.map((each) => [
        each.name,
        each.kind,
        each.address,
        each.dataCentre,
        each.services.join(','),
        each.checksFencing ? 'checked' : 'ignored',
        each.presence,
      ]),
    },
    {
      title: 'stores',
      header: ['name', 'address', 'data centre', 'memory bytes', 'disk bytes', 'presence'],
      rows: given.stores.map((each) => [
        each.name,
        each.address,
        each.dataCentre,
        String(each.memoryBytes),
        String(each.diskBytes),
        each.presence,
      ]),
    },
    {
      title: 'limits',
      header: ['limit', 'value'],
      rows: Object.entries(given.limits).map(([name, value]) => [name, String(value)]),
    },
  ];
}

function accountsTable({ clientAccounts }: Configuration, isWhole: boolean): table.Table {
  const secretColumns = isWhole ? ['credential digest', 'context secret'] : [];
  return {
    title: 'client accounts',
    header: ['name', 'share', ...secretColumns],
    rows: clientAccounts.map(({ name, share, credentialDigest, contextSecret }) => [
      name,
      String(share),
      ...(isWhole ? [credentialDigest, contextSecret] : []),
    ]),
  };
}

function toServiceRow(service: core.configuration.Service): readonly string[] {
  switch (service.kind) {
    case 'model':
      return [service.name, 'model', service.priority, service.model, service.weightVersion];
    case 'plain':
      return [service.name, 'plain', service.priority, '', ''];
    default:
      return core.results.assertNever(service);
  }
}
