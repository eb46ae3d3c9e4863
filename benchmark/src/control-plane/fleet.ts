/** Simulates a fleet of instances in data centres, with a configuration in proportion. */
import * as core from '@medlarweir/core';

import * as instances from './instance.js';
import type * as worlds from './world.js';
import * as linksOf from './links.js';
import * as platforms from './platform.js';
import * as timelines from './timeline.js';

export type Size = { instances: number; dataCentres: number };

export type Fleet = {
  world: worlds.World;
  all: readonly worlds.Instance[];
  /** Accepts a change at the platform; returns its generation. */
  accept(): number;
  /** Milliseconds from acceptance until each instance had a generation at least as high. */
  delays: Map<number, number[]>;
  /** How often an instance adopted a generation lower than its own. */
  reverted(): number;
};

/** The design size; smaller fleets are scaled down in proportion. */
const DESIGN = { instances: 380, upstreams: 2_300, clientAccounts: 570, services: 17, stores: 28 };

/** Starts instances spread over some seconds, unless `startWithinMs` says otherwise. */
export function create(size: Size, seed: number, startWithinMs = 2_000): Fleet {
  const timeline = timelines.create();
  const platform = platforms.create(timeline);
  const links = linksOf.create(timeline, seed);
  const acceptedAtMs = new Map<number, number>();
  const highest = new Map<string, number>();
  const state = { reverted: 0 };
  const delays = new Map<number, number[]>();
  const world: worlds.World = {
    timeline,
    links,
    platform,
    instances: new Map(),
    onAdopted(name, run, generation) {
      const life = `${name}#${run}`;
      if (generation <= (highest.get(life) ?? 0)) state.reverted += 1;
      highest.set(life, generation);
      const atMs = acceptedAtMs.get(generation);
      if (atMs !== undefined) delays.get(generation)?.push(timeline.nowMs() - atMs);
    },
  };
  const all = Array.from({ length: size.instances }, (_, at) =>
    instances.create(world, `instance-${at}`, `dc-${at % size.dataCentres}`),
  );
  all.forEach((each) => world.instances.set(each.name, each));
  const held = begin(platform, size);
  platform.setInstances(
    all.map(({ name, dataCentre }) => ({ name, dataCentre, peers: name, state: 'live' })),
  );
  all.forEach((each, at) => timeline.after((at * startWithinMs) / all.length, each.start));

  function accept(): number {
    const { head, configuration } = held;
    const { change, next } = changeOf(configuration, timeline.nowMs());
    const writes = core.configuration.heads.planWrites(head, change, next, 'id');
    held.configuration = next;
    held.head = writes.head;
    acceptedAtMs.set(next.generation, timeline.nowMs());
    delays.set(next.generation, []);
    if (writes.base) platform.put(writes.base.key, writes.base.value);
    platform.put(core.configuration.heads.HEAD_KEY, writes.head);
    return next.generation;
  }
  return { world, all, accept, delays, reverted: () => state.reverted };
}

type Held = {
  configuration: core.configuration.Configuration;
  head: core.configuration.heads.Head;
};

function begin(platform: platforms.Platform, size: Size): Held {
  const configuration = configurationOf(size);
  const change = {
    id: 'change-1',
    generation: 1,
    edits: [],
    by: 'operator',
    atMs: 0,
    why: 'start',
  };
  const { head, base } = core.configuration.heads.planWrites(
    undefined,
    change,
    configuration,
    'id',
  );
  if (base) platform.put(base.key, base.value);
  platform.put(core.configuration.heads.HEAD_KEY, head);
  return { configuration, head };
}

/** Takes one upstream after another out of service, and back. */
function changeOf(configuration: core.configuration.Configuration, atMs: number) {
  const generation = configuration.generation + 1;
  const { upstreams } = configuration;
  const found = upstreams[generation % upstreams.length];
  if (!found) throw new Error('the fleet configuration has no upstreams');
  const presence = found.presence === 'in' ? ('out' as const) : ('in' as const);
  const entry = { ...found, presence };
  const edits = [{ kind: 'put' as const, list: 'upstreams' as const, entry }];
  const change = {
    generation,
    id: `change-${generation}`,
    edits,
    by: 'operator-of-the-day',
    atMs,
    why: `change ${generation}`,
  };
  const next = {
    ...configuration,
    generation,
    upstreams: upstreams.map((each) => (each.name === entry.name ? entry : each)),
  };
  return { change, next };
}

function configurationOf(size: Size): core.configuration.Configuration {
  const share = size.instances / DESIGN.instances;
  const many = <Value>(count: number, make: (at: number) => Value) =>
    Array.from({ length: Math.ceil(count * share) }, (_, at) => make(at));
  const centreOf = (at: number) => `dc-${at % size.dataCentres}`;
  const serviceOf = (at: number) => `service-${at % Math.ceil(DESIGN.services * share)}`;
  const found = {
    generation: 1,
    dataCentres: Array.from({ length: size.dataCentres }, (_, at) => ({
      name: `dc-${at}`,
      region: `region-${at % 4}`,
    })),
    clientAccounts: many(DESIGN.clientAccounts, (at) => ({
      name: `client-account-${at}`,
      credentialDigest: 'a'.repeat(64),
      contextSecret: `secret-of-${at}`.padEnd(40, 's'),
    })),
    services: many(DESIGN.services, (at) => ({
      kind: 'model',
      name: `service-${at}`,
      model: `model-${at}`,
      weightVersion: 'v1',
    })),
    upstreams: many(DESIGN.upstreams, (at) => ({
      name: `engine-${at}`,
      kind: 'engine',
      address: `10.0.${at % 250}.${at % 240}:7001`,
      dataCentre: centreOf(at),
      services: [serviceOf(at)],
    })),
    stores: many(DESIGN.stores, (at) => ({
      name: `store-${at}`,
      address: `10.1.0.${at}:7101`,
      dataCentre: centreOf(at),
      memoryBytes: 64_000_000_000,
      diskBytes: 512_000_000_000,
      linkBytesPerS: 12_500_000_000,
    })),
  };
  return core.configuration.configurationSchema.parse(found);
}
