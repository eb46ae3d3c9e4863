/**
 * Sends keyed requests at a steady rate to a fleet that uses the real claims decisions, in simulated
 * time. Measures their cost to the platform and how long a request waits for its claim.
 */
import * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
import * as hdr from 'hdr-histogram-js';
import * as uniformInt from 'pure-rand/distribution/uniformInt';
import * as xoroshiro from 'pure-rand/generator/xoroshiro128plus';

/** `grouped`: one instance batches writes per page; `single`: one write per claim and outcome. */
export type Policy = 'grouped' | 'own-instance' | 'single';
export type Keys = 'timed' | 'hashed';
export type Load = {
  policy: Policy;
  keys: Keys;
  perS: number;
  lastsS: number;
  instances: number;
  /** An outage of the platform in the middle of the load; 0 for none. */
  outageS: number;
};

export type Figures = {
  policy: Policy;
  keys: Keys;
  perS: number;
  requests: number;
  granted: number;
  refused: number;
  writesPerClaim: number;
  readsPerClaim: number;
  digestsPerClaim: number;
  bytesPerClaim: number;
  addedDelayP50Ms: number;
  addedDelayP95Ms: number;
  refusalP95Ms: number;
  largestPageBytes: number;
  doubleGrants: number;
};

const SEED = 20_261_204;
const WORK_MS = { least: 20, most: 400 } as const;
/** Time from the creation of a key to its arrival, including the skew of the callers' clocks. */
const KEY_AGE_MS = 100;
const ANSWER = Buffer.from(JSON.stringify({ reference: 'x'.repeat(40), number: 123_456 }));
const MS_PER_S = 1_000;

export function run(load: Load): Figures {
  const fleet = fixtures.aClaimsFleet({
    instances: load.instances,
    hasPeers: load.policy === 'grouped',
  });
  const random = xoroshiro.xoroshiro128plus(SEED);
  const draw = (below: number) => uniformInt.uniformInt(random, 0, below - 1);
  const began = new Map<string, number>();
  const grants = new Map<string, number>();
  const delays = hdr.build();
  const refusals = hdr.build();
  let refused = 0;

  fleet.onAnswered((at, { requestId, answer }) => {
    const tookMs = fleet.nowMs() - (began.get(requestId) ?? 0);
    if (answer.kind !== 'granted') {
      refused += 1;
      refusals.recordValue(tookMs * TICKS_PER_MS);
      return;
    }
    grants.set(requestId, (grants.get(requestId) ?? 0) + 1);
    delays.recordValue(tookMs * TICKS_PER_MS);
    const workMs = WORK_MS.least + draw(WORK_MS.most - WORK_MS.least);
    const whole = { status: 201, headers: { 'content-type': 'application/json' }, body: ANSWER };
    fleet.schedule(workMs, () =>
      fleet.record(at, requestId, answer.claim, { kind: 'answered', answer: whole }),
    );
  });

  const requests = load.perS * load.lastsS;
  for (let number = 0; number < requests; number += 1) {
    const atMs = (number * MS_PER_S) / load.perS + draw(MS_PER_S / load.perS + 1);
    const at = draw(load.instances);
    const ageMs = draw(KEY_AGE_MS);
    fleet.schedule(atMs, () => {
      const requestId = `request-${number}`;
      began.set(requestId, fleet.nowMs());
      fleet.claim(at, { requestId, key: keyOf(load, number, fleet.nowMs() - ageMs) });
    });
  }
  if (load.outageS > 0) scheduleOutage(fleet, load);
  fleet.advance((load.lastsS + SETTLE_S) * MS_PER_S);

  const sizes = [...fleet.objects.values()].map(({ value }) => JSON.stringify(value).length);
  return {
    policy: load.policy,
    keys: load.keys,
    perS: load.perS,
    requests,
    granted: grants.size,
    refused,
    writesPerClaim: round(fleet.calls.writes / requests),
    readsPerClaim: round(fleet.calls.reads / requests),
    digestsPerClaim: round(fleet.calls.digests / requests),
    bytesPerClaim: Math.round(fleet.calls.writtenBytes / requests),
    addedDelayP50Ms: round(delays.getValueAtPercentile(50) / TICKS_PER_MS),
    addedDelayP95Ms: round(delays.getValueAtPercentile(95) / TICKS_PER_MS),
    refusalP95Ms: round(refusals.getValueAtPercentile(95) / TICKS_PER_MS),
    largestPageBytes: Math.max(...sizes),
    doubleGrants: [...grants.values()].filter((count) => count > 1).length,
  };
}

const TICKS_PER_MS = 1_000;
const SETTLE_S = 20;

/** The outage begins after a third of the load. */
function scheduleOutage(fleet: fixtures.ClaimsFleet, { lastsS, outageS }: Load): void {
  const beginMs = (lastsS / 3) * MS_PER_S;
  fleet.schedule(beginMs, () => fleet.setFault('outage'));
  fleet.schedule(beginMs + outageS * MS_PER_S, () => fleet.setFault('none'));
}

/** With one write per claim, each key has its own page. */
function keyOf({ keys, policy }: Load, number: number, sinceStartMs: number): string {
  if (keys === 'hashed') return `order-${number}`;
  const { wallMs } = fixtures.anInstant(Math.floor(sinceStartMs));
  const { BUCKET_MS } = core.claims.keys;
  return policy === 'single'
    ? fixtures.aUuidV7(wallMs - number * BUCKET_MS, number)
    : fixtures.aUuidV7(wallMs, number);
}

function round(value: number): number {
  const digits = 1_000;
  return Math.round(value * digits) / digits;
}
