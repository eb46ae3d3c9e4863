/** Loads the description of an example deployment and derives its questionnaire answers. */
import * as fs from 'node:fs/promises';

import * as zod from 'zod';

const deploymentSchema = zod.object({
  team: zod.string(),
  region: zod.string(),
  dataCentres: zod.array(zod.string()),
  clientAccounts: zod.array(zod.object({ name: zod.string(), share: zod.number() })),
  services: zod.array(zod.looseObject({ name: zod.string(), kind: zod.string() })),
  engines: zod.object({ services: zod.array(zod.string()), count: zod.number() }),
  plain: zod.object({ services: zod.array(zod.string()), count: zod.number() }),
  stores: zod.number(),
  story: zod.object({
    promptService: zod.string(),
    account: zod.string(),
    otherAccount: zod.string(),
    opening: zod.string(),
    effectService: zod.string(),
    effectPath: zod.string(),
    effectReference: zod.string(),
  }),
});

export type Deployment = zod.infer<typeof deploymentSchema>;
export type ExampleName = 'balizas' | 'svjetlopis';
export const EXAMPLES: readonly ExampleName[] = ['balizas', 'svjetlopis'];

/** Addresses of the running stand-ins. */
export type Addresses = {
  engines: readonly string[];
  plain: readonly string[];
  stores: readonly string[];
};

export async function load(name: ExampleName): Promise<Deployment> {
  const file = new URL(`../${name}/deployment.json`, import.meta.url);
  return deploymentSchema.parse(JSON.parse(await fs.readFile(file, 'utf8')));
}

/** Fixed credentials, so that the scenario can use them; a real team has its own generated. */
export function credentialOf(account: string): string {
  return `example-credential-of-${account}`;
}

const STORE_MEMORY_BYTES = 64_000_000_000;
const STORE_DISK_BYTES = 512_000_000_000;
const STORE_LINK_BYTES_PER_S = 12_500_000_000;
const PREFILL_TOKENS_PER_S = 8_000;

export function toAnswers(deployment: Deployment, addresses: Addresses): unknown {
  const { dataCentres } = deployment;
  const centreOf = (at: number) => dataCentres[at % dataCentres.length];
  const engines = addresses.engines.map((address, at) => ({
    name: `engine-${at + 1}`,
    kind: 'engine',
    address,
    dataCentre: centreOf(at),
    services: deployment.engines.services,
    prefillTokensPerS: PREFILL_TOKENS_PER_S,
    checksFencing: at % 2 === 0,
  }));
  const plain = addresses.plain.map((address, at) => ({
    name: `plain-${at + 1}`,
    kind: 'plain',
    address,
    dataCentre: centreOf(at),
    services: deployment.plain.services,
    checksFencing: false,
  }));
  const stores = addresses.stores.map((address, at) => ({
    name: `store-${at + 1}`,
    address,
    dataCentre: centreOf(at),
    memoryBytes: STORE_MEMORY_BYTES,
    diskBytes: STORE_DISK_BYTES,
    linkBytesPerS: STORE_LINK_BYTES_PER_S,
  }));
  return {
    team: deployment.team,
    region: deployment.region,
    dataCentres,
    clientAccounts: deployment.clientAccounts.map((account) => ({
      ...account,
      credential: credentialOf(account.name),
    })),
    services: deployment.services,
    upstreams: [...engines, ...plain],
    stores,
  };
}
