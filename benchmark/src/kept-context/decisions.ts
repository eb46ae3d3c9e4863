/** Measures the CPU time of one placement decision, over fleets of three sizes. */
import * as core from '@medlarweir/core';

export const REPLICAS = [13, 200, 2_300] as const;
const PIECES = 20;
const CHAINS = 200;
const DECISIONS = 2_000;
const ROUNDS = 5;

export type DecisionMicros = Record<string, number> & {
  /** Microseconds per added replica, over the largest two sizes. */
  slopePerReplica: number;
};

/** Takes the minimum of several rounds per size, to reduce the effect of other load. */
export function measure(): DecisionMicros {
  const micros = REPLICAS.map((replicas) => ({ replicas, micros: microsOf(replicas) }));
  const [, middle, largest] = micros;
  const slope =
    middle && largest
      ? (largest.micros - middle.micros) / (largest.replicas - middle.replicas)
      : Number.NaN;
  const named = micros.map((each) => [String(each.replicas), rounded(each.micros, 1)]);
  return { ...Object.fromEntries(named), slopePerReplica: rounded(slope, 4) } as DecisionMicros;
}

function rounded(value: number, digits: number): number {
  return Number(value.toFixed(digits));
}

function microsOf(replicas: number): number {
  const state = fleetOf(replicas);
  const rounds = Array.from({ length: ROUNDS }, (_, round) => roundOf(state, round));
  return Math.min(...rounds);
}

function roundOf(state: core.routing.State, round: number): number {
  const startMs = performance.now();
  for (let at = 0; at < DECISIONS; at += 1) {
    const now = { monotonicMs: (round * DECISIONS + at) * 50, wallMs: 0 };
    const requestId = `request-${round}-${at}`;
    const replyTo = { send: () => undefined };
    core.routing.decide(
      state,
      { type: 'routing.place-prompt', outline: outlineOf(requestId, at), replyTo },
      now,
    );
    state.inFlightRequests.delete(requestId);
  }
  return ((performance.now() - startMs) / DECISIONS) * 1_000;
}

function outlineOf(requestId: string, at: number): core.messages.PromptOutline {
  return {
    requestId,
    clientAccount: 'account',
    service: 'service',
    weightVersion: 'v1',
    pieces: chain(at % CHAINS),
    promptTokens: PIECES * core.keptContext.PIECE_TOKENS,
    maxTokens: 100,
    excluded: [],
  };
}

function chain(number: number): readonly string[] {
  return Array.from({ length: PIECES }, (_, at) => (at < 4 ? `o/${at}` : `${number}/${at}`));
}

/** Builds a fleet whose replicas have reported a few chains each, with stores that hold all. */
function fleetOf(replicas: number): core.routing.State {
  let state = core.routing.initial('instance-1', 'dc-1');
  const send = (message: core.messages.RoutingMessage) => {
    state = core.routing.decide(state, message, { monotonicMs: 0, wallMs: 0 }).state;
  };
  send({ type: 'configuration.adopted', configuration: configurationOf(replicas) });
  for (let at = 0; at < replicas; at += 1) {
    const upstream = `engine-${at}`;
    const load = { kind: 'load', running: at % 7, waiting: 0, temperature: 'warm' } as const;
    send({ type: 'engine.reported', upstream, report: { ...load, weightVersion: 'v1' } });
    const pieces = [...chain(at % CHAINS), ...chain((at + 1) % CHAINS)];
    send({ type: 'engine.reported', upstream, report: { kind: 'snapshot', sequence: 1, pieces } });
  }
  const names = new Set(Array.from({ length: CHAINS }, (_, at) => chain(at)).flat());
  ['store-1', 'store-2'].forEach((store) => {
    const manifests = [...names].map((piece, slot) => ({
      piece,
      store,
      slot,
      slotIncarnation: 'a',
      storeIncarnation: 'a',
      lengthBytes: 1,
      checksum: 'a',
      tier: 'memory' as const,
    }));
    const report = { kind: 'snapshot', sequence: 1, storeIncarnation: 'a', manifests } as const;
    send({ type: 'store.reported', store, report });
  });
  return state;
}

function configurationOf(replicas: number): core.configuration.Configuration {
  return core.configuration.configurationSchema.parse({
    generation: 1,
    dataCentres: [{ name: 'dc-1', region: 'region' }],
    clientAccounts: [],
    services: [{ kind: 'model', name: 'service', model: 'model', weightVersion: 'v1' }],
    upstreams: Array.from({ length: replicas }, (_, at) => ({
      name: `engine-${at}`,
      kind: 'engine',
      address: '127.0.0.1:9',
      dataCentre: 'dc-1',
      services: ['service'],
    })),
    stores: ['store-1', 'store-2'].map((name) => ({
      name,
      address: '127.0.0.1:9',
      dataCentre: 'dc-1',
      memoryBytes: 1e12,
      diskBytes: 1e12,
      linkBytesPerS: 1e10,
    })),
  });
}
