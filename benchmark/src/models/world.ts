/** Simulates a few entry instances in front of a few engines, with delayed reports between them. */
import type * as core from '@medlarweir/core';

import * as choices from './choice.js';
import * as engines from './engine.js';
import * as entries from './entry.js';
import * as platforms from './platform.js';
import * as randomness from './randomness.js';
import * as tallies from './tally.js';
import * as timelines from './timeline.js';

export type Options = {
  seed: number;
  policy: choices.Policy;
  dataCentres: readonly string[];
  instances: number;
  engines: number;
  engine: Omit<engines.Options, 'name'>;
  entry: Omit<entries.Options, 'name' | 'dataCentre' | 'clockOffsetMs'>;
  platform: platforms.Options;
  reportEveryMs: number;
  longestReportLagMs: number;
};

export type World = {
  timeline: timelines.Timeline;
  random: randomness.Randomness;
  platform: platforms.Platform;
  engines: readonly engines.Engine[];
  entries: readonly entries.Entry[];
  tally: tallies.Tally;
  configuration: core.configuration.Configuration;
  /** Applies a configuration at every instance after a delay. */
  configure(next: core.configuration.Configuration, longestMs: number): void;
  /** Restarts an engine: its report streams close and are reopened. */
  restart(at: number, coldMs: number): void;
  /** Turns an engine cold; only its next reports show it. */
  turnCold(at: number, coldMs: number): void;
  /** Generates prompts at all instances, at this total rate. */
  arrive(fromMs: number, toMs: number, perS: number): void;
};

export const SERVICE = 'briefing';
const RECONNECT_MS = 500;
const LARGEST_CLOCK_OFFSET_MS = 1_000_000;

export function create(options: Options): World {
  const timeline = timelines.create();
  const random = randomness.create(options.seed);
  const platform = platforms.create(timeline, random, options.platform);
  const tally = tallies.create(timeline);
  const engineList = Array.from({ length: options.engines }, (_, at) =>
    engines.create(timeline, { ...options.engine, name: `engine-${at + 1}` }),
  );
  const byName = new Map(engineList.map((engine) => [engine.name, engine]));
  const centreOf = (at: number) => options.dataCentres[at % options.dataCentres.length] ?? '';
  const entryList = Array.from({ length: options.instances }, (_, at) =>
    entries.create(
      {
        timeline,
        random,
        platform,
        engines: byName,
        choice: choices.create(options.policy),
        onEnding: tally.add,
      },
      {
        ...options.entry,
        name: `instance-${at + 1}`,
        dataCentre: centreOf(at),
        clockOffsetMs: random.between(0, LARGEST_CLOCK_OFFSET_MS),
      },
    ),
  );
  const configuration = configurationOf(options, centreOf);
  const deliverReportLater = (engine: engines.Engine, report: core.messages.EngineReport) =>
    entryList.forEach((entry) =>
      timeline.after(random.between(1, options.longestReportLagMs), () =>
        entry.receiveReport(engine.name, report),
      ),
    );
  function reportFor(engine: engines.Engine): void {
    deliverReportLater(engine, engine.report());
    timeline.after(options.reportEveryMs, () => reportFor(engine));
  }

  const members = entryList.map(({ name }, at) => aMember(name, centreOf(at)));
  entryList.forEach((entry) => {
    entry.adopt(configuration);
    entry.seeMembers(members.filter(({ name }) => name !== entry.name));
  });
  engineList.forEach((engine) =>
    timeline.after(random.between(0, options.reportEveryMs), () => reportFor(engine)),
  );
  return {
    timeline,
    random,
    platform,
    engines: engineList,
    entries: entryList,
    tally,
    configuration,
    configure: (next, longestMs) =>
      entryList.forEach((entry) =>
        timeline.after(random.between(1, longestMs), () => entry.adopt(next)),
      ),
    restart(at, coldMs) {
      const engine = engineList[at];
      if (!engine) return;
      entryList.forEach((entry) =>
        timeline.after(1, () => entry.receiveReport(engine.name, { kind: 'silent' })),
      );
      timeline.after(RECONNECT_MS, () => deliverReportLater(engine, engine.report()));
      engine.turnCold(coldMs);
    },
    turnCold: (at, coldMs) => engineList[at]?.turnCold(coldMs),
    arrive(fromMs, toMs, perS) {
      const next = () => {
        if (timeline.nowMs() >= toMs) return;
        const entry = entryList[Math.floor(random.share() * entryList.length)];
        entry?.ask({
          service: SERVICE,
          arrivedAtMs: timeline.nowMs(),
          hasToken: false,
          requestId: '',
        });
        timeline.after(random.exponential(1_000 / perS), next);
      };
      timeline.at(fromMs, next);
    },
  };
}

/** Another instance as listed by the platform. */
export function aMember(name: string, dataCentre: string): core.messages.Member {
  return { name, dataCentre, peers: '127.0.0.1:1', state: 'live', evidence: 'heard' };
}

function aService(): core.configuration.ModelService {
  return {
    kind: 'model',
    name: SERVICE,
    model: SERVICE,
    adapter: '',
    weightVersion: 'v1',
    priority: 'normal',
    weights: { firstToken: 1, recompute: 1 },
    progressTimeoutMs: 5_000,
    deadlineMs: 60_000,
  };
}

function configurationOf(
  { engines: count, engine, dataCentres }: Options,
  centreOf: (at: number) => string,
): core.configuration.Configuration {
  return {
    generation: 1,
    dataCentres: dataCentres.map((name) => ({ name, region: 'region-1', presence: 'in' })),
    clientAccounts: [],
    services: [aService()],
    upstreams: Array.from({ length: count }, (_, at) => ({
      name: `engine-${at + 1}`,
      kind: 'engine',
      address: '127.0.0.1:1',
      dataCentre: centreOf(at),
      services: [SERVICE],
      slots: engine.slots,
      coldSlots: engine.coldSlots,
      prefillTokensPerS: 8_000,
      checksFencing: true,
      presence: 'in',
    })),
    stores: [],
    limits: {
      maxBodyBytes: 1,
      maxRequests: 1_000,
      claimRetentionMs: 1,
      contextBytesPerToken: 1,
    },
  };
}
