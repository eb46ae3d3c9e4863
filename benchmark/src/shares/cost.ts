/** Processor time of one placement, with usage of many accounts told by many peers. */
import * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';

import * as figures from './figures.js';

export type Cost = {
  upstreams: number;
  features: string;
  sharing: core.fleet.peerWork.Sharing;
  /** Mean processor time, and the median of the elapsed time; the machine may be busy. */
  processorMicros: number;
  p50Micros: number;
  p99Micros: number;
};

const SIZES: readonly number[] = [42, 63, 380];
const PEERS = 16;
const ACCOUNTS = 32;
const DECISIONS = 3_000;
const WARM_UP = 500;
const MICROS_PER_MS = 1_000;
const GAP_MS = 120;

function aFleet(
  upstreams: number,
  features: readonly string[],
  sharing: core.fleet.peerWork.Sharing,
): core.fleet.state.State {
  const listed = Array.from({ length: upstreams }, (_, at) => fixtures.aListedUpstream(`u-${at}`));
  const members = Array.from({ length: PEERS }, (_, at) => `instance-${at + 1}`);
  const state = fixtures.aFleet(listed, { members, features: new Set(features), sharing });
  // A follower hears the sum of all from its reader.
  const heard = sharing === 'with-all' ? members.slice(1) : members.slice(1, 2);
  heard.forEach((from) => {
    const accounts = Array.from({ length: ACCOUNTS }, (_, at) => ({
      account: core.shares.ledger.keyOf(`account-${at}`),
      amounts: { used: 1_000 * (at + 1), refused: at },
    }));
    const services = [
      { service: 'models', accounts, rest: { used: 500, refused: 0, accounts: 20 } },
    ];
    const update = {
      from,
      scope: sharing === 'with-all' ? ('own' as const) : ('fleet' as const),
      incarnation: 'life-1',
      sentAtMs: 0,
      services,
    };
    core.shares.updates.receive(state.ledger, update, fixtures.anInstant());
  });
  return state;
}

function time(
  upstreams: number,
  features: readonly string[],
  sharing: core.fleet.peerWork.Sharing,
): Cost {
  const state = aFleet(upstreams, features, sharing);
  const micros: number[] = [];
  let processorMicros = 0;
  Array.from({ length: DECISIONS + WARM_UP }).forEach((_, at) => {
    const now = fixtures.anInstant(at * GAP_MS);
    const requestId = `r-${at}`;
    const waiting = fixtures.contendedFleet.aWaiting({
      receivedAtMs: now.monotonicMs,
      deadlineAtMs: now.monotonicMs + 12_000,
    });
    const placementRequest = {
      ...fixtures.aPlacementRequest({ requestId, clientAccount: `account-${at % ACCOUNTS}` }),
      waiting,
    };
    const replyTo = fixtures.aMailbox<core.messages.RequestMessage>();
    const before = process.cpuUsage();
    const startedMs = performance.now();
    core.fleet.decide(state, { type: 'fleet.place', placementRequest, replyTo }, now);
    const tookMs = performance.now() - startedMs;
    const { user, system } = process.cpuUsage(before);
    if (at >= WARM_UP) {
      micros.push(tookMs * MICROS_PER_MS);
      processorMicros += user + system;
    }
    state.registry.upstreams.forEach(({ inFlight }) => inFlight.clear());
  });
  return {
    upstreams,
    features: features.join(),
    sharing,
    processorMicros: figures.round(processorMicros / micros.length) ?? 0,
    p50Micros: figures.round(figures.percentile(micros, 0.5)) ?? 0,
    p99Micros: figures.round(figures.percentile(micros, 0.99)) ?? 0,
  };
}

/** Each size without and with the new decisions, one after the other. */
export function measure(): readonly Cost[] {
  return SIZES.flatMap((size) =>
    (['through-reader', 'with-all'] as const).flatMap((sharing) => [
      time(size, [], sharing),
      time(size, ['pressure'], sharing),
    ]),
  );
}

export function describe(all: readonly Cost[]): readonly string[] {
  return all.map(
    ({ upstreams, features, sharing, processorMicros, p50Micros }) =>
      `decision at ${upstreams} upstreams, ${sharing}, ${features || 'previous'}: processor ${processorMicros} µs, p50 elapsed ${p50Micros} µs`,
  );
}
