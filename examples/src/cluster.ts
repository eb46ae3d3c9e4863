/** Starts and stops an example: stand-ins and two instances as separate processes on loopback. */
import * as fs from 'node:fs/promises';
import * as os from 'node:os';
import * as path from 'node:path';

import * as peersTrpc from '@medlarweir/plugin-peers-trpc';
import * as undici from 'undici';

import * as deployments from './deployment.js';
import * as processes from './processes.js';

const DEPLOYMENT_KEY = 'example-deployment-key';
/** Capacity of an example engine's prefix cache: small, so that the scenario can evict its content. */
export const ENGINE_CACHE_PIECES = 12;
const PREFILL_TOKENS_PER_S = 400_000;

export type Instance = {
  name: string;
  dataCentre: string;
  callers: string;
  process: processes.Process;
  dump(): Promise<Record<string, unknown>>;
};

export type Cluster = {
  deployment: deployments.Deployment;
  platform: string;
  addresses: deployments.Addresses;
  /** The processes of the engines, in the order of their addresses. */
  engines: readonly processes.Process[];
  /** An engine outside the deployment; its answers are the reference for comparisons. */
  referenceEngineAddress: string;
  instances: readonly Instance[];
  /** The configuration generation that the questionnaire applied. */
  generation: number;
  /** Drains the instances (SIGTERM), then kills the stand-ins; returns the instances' exit codes. */
  stop(): Promise<readonly (number | string)[]>;
};

type StandInProcess = { address: string; process: processes.Process };

async function startStandIn(kind: string, options: object): Promise<StandInProcess> {
  const args = [kind, '--options', JSON.stringify(options)];
  const started = processes.start(processes.BINARIES.standIn, args);
  const address = await started.waitForLine((line) => line.listening as string | undefined);
  return { address, process: started };
}

function startStandIns(kind: string, count: number, options: (at: number) => object) {
  const starts = Array.from({ length: count }, (_, at) => startStandIn(kind, options(at)));
  return Promise.all(starts);
}

export async function start(deployment: deployments.Deployment): Promise<Cluster> {
  const engineOptions = {
    cachePieces: ENGINE_CACHE_PIECES,
    prefillTokensPerS: PREFILL_TOKENS_PER_S,
  };
  const [platforms, engines, plain, stores, references] = await Promise.all([
    startStandIns('platform', 1, () => ({})),
    startStandIns('engine', deployment.engines.count, () => engineOptions),
    startStandIns('plain', deployment.plain.count, () => ({})),
    startStandIns('store', deployment.stores, (at) => ({ name: `store-${at + 1}` })),
    startStandIns('engine', 1, () => engineOptions),
  ]);
  const platform = platforms[0]?.address ?? '';
  const addresses = {
    engines: engines.map(({ address }) => address),
    plain: plain.map(({ address }) => address),
    stores: stores.map(({ address }) => address),
  };
  const generation = await applyAnswers(deployment, addresses, platform);
  const instances = await startInstances(deployment, platform);
  const standIns = [...platforms, ...engines, ...plain, ...stores, ...references];
  return {
    deployment,
    platform,
    addresses,
    engines: engines.map((each) => each.process),
    referenceEngineAddress: references[0]?.address ?? '',
    instances,
    generation,
    stop: () => stop(instances, standIns),
  };
}

/** Applies the team's answers with `medlarctl questionnaire`, as an operator does. */
async function applyAnswers(
  deployment: deployments.Deployment,
  addresses: deployments.Addresses,
  platform: string,
): Promise<number> {
  const folder = await fs.mkdtemp(path.join(os.tmpdir(), 'medlarweir-demo-'));
  const file = path.join(folder, 'answers.json');
  await fs.writeFile(file, JSON.stringify(deployments.toAnswers(deployment, addresses)));
  const printed = await processes.runOrThrow(processes.BINARIES.medlarctl, [
    'questionnaire',
    '--answers',
    file,
    '--platform',
    platform,
    '--yes',
    '--json',
  ]);
  await fs.rm(folder, { recursive: true });
  return (JSON.parse(printed) as { generation: number }).generation;
}

const LISTENING_EVENT = 104;
const ADOPTED_EVENT = 201;

async function startInstances(
  deployment: deployments.Deployment,
  platform: string,
): Promise<readonly Instance[]> {
  const started = deployment.dataCentres.slice(0, 2).map((dataCentre, at) => {
    const name = `instance-${at + 1}`;
    const settings = {
      name,
      'data-centre': dataCentre,
      callers: '127.0.0.1:0',
      peers: '127.0.0.1:0',
      platform,
      'deployment-key': DEPLOYMENT_KEY,
      'balancer-lag-ms': '100',
    };
    const args = Object.entries(settings).flatMap(([flag, value]) => [`--${flag}`, value]);
    return { name, dataCentre, process: processes.start(processes.BINARIES.medlarweir, args) };
  });
  const listening = await Promise.all(started.map(waitUntilListening));
  await Promise.all(listening.map((each) => registerInstance(platform, each)));
  await Promise.all(
    listening.map(({ process: each }) =>
      each.waitForLine((line) => (line.event === ADOPTED_EVENT ? true : undefined)),
    ),
  );
  return listening;
}

async function waitUntilListening(started: Pick<Instance, 'name' | 'dataCentre' | 'process'>) {
  const pick = (field: 'callers' | 'peers') =>
    started.process.waitForLine((line) =>
      line.event === LISTENING_EVENT ? (line[field] as string | undefined) : undefined,
    );
  const [callers, peers] = await Promise.all([pick('callers'), pick('peers')]);
  const client = peersTrpc.client.create(peers, DEPLOYMENT_KEY);
  return { ...started, callers, peers, dump: () => client.dump.query() };
}

/** Adds an instance to the platform's list of instances. */
export async function registerInstance(
  platform: string,
  { name, dataCentre, peers }: Pick<Instance, 'name' | 'dataCentre'> & { peers: string },
): Promise<void> {
  const value = { dataCentre, peers, state: 'live' };
  const response = await undici.request(`http://${platform}/-/objects/medlarweir-instances`, {
    method: 'POST',
    body: JSON.stringify({ metadata: { name }, spec: { value, writeId: name } }),
  });
  await response.body.dump();
}

/** Sends a control request to a stand-in, for example to inject a fault. */
export async function sendControl(address: string, body: unknown): Promise<void> {
  const response = await undici.request(`http://${address}/control`, {
    method: 'POST',
    body: JSON.stringify(body),
  });
  await response.body.dump();
}

export async function readStats<Stats>(address: string): Promise<Stats> {
  const response = await undici.request(`http://${address}/control/stats`);
  return (await response.body.json()) as Stats;
}

async function stop(
  instances: readonly Instance[],
  standIns: readonly StandInProcess[],
): Promise<readonly (number | string)[]> {
  instances.forEach(({ process: each }) => each.signal('SIGTERM'));
  const codes = await Promise.all(instances.map(({ process: each }) => each.exited));
  standIns.forEach(({ process: each }) => each.signal('SIGKILL'));
  await Promise.all(standIns.map(({ process: each }) => each.exited));
  return codes;
}
