/** Callers of the model: accounts that send prompts of two kinds in bursts of three, and return when told to. */
import type * as core from '@medlarweir/core';
import type * as fixtures from '@medlarweir/core/fixtures';

import type * as randomness from '../models/randomness.js';
import type * as engines from './engine.js';

export type Size = 'short' | 'long';

/** `greedy`: comes back after 50 ms whatever it is told. */
export type Manner = 'patient' | 'greedy';

export type Kind = {
  size: Size;
  rank: number;
  sharedTokens: number;
  ownTokens: number;
  outputTokens: number;
  latencyTargetMs: number;
  deadlineMs: number;
};

/** Work of the kinds that the deployment `hpc` has. */
export const KINDS: Readonly<Record<Size, Kind>> = {
  long: {
    size: 'long',
    rank: 1,
    sharedTokens: 9_122,
    ownTokens: 2_870,
    outputTokens: 45,
    latencyTargetMs: 1_000,
    deadlineMs: 12_000,
  },
  short: {
    size: 'short',
    rank: 0,
    sharedTokens: 1_861,
    ownTokens: 507,
    outputTokens: 3,
    latencyTargetMs: 400,
    deadlineMs: 2_500,
  },
};

export type Account = { name: string; manner: Manner };

/** One request of a caller, over all its attempts. */
export type Call = {
  id: string;
  account: Account;
  kind: Kind;
  prompt: core.gateway.request.Prompt;
  sentAtMs: number;
  attempts: number;
  /** Time from the first attempt to its refusal, if it was refused. */
  firstRefusalMs: number | undefined;
  firstTokenMs: number | undefined;
  /** Whether the whole answer came before the deadline, and when. */
  isEnded: boolean;
  endedAtMs: number | undefined;
};

export type Stream = {
  account: Account;
  size: Size;
  fromMs: number;
  untilMs: number;
  perS: number;
};

/** First parts that the prompts of one size and account share; with more, all of them do not fit into one engine. */
const SHARED_PARTS = 1;
const BURST = 3;
const BURST_SPREAD_MS = 60;
export const HEEDED_SHARE = 1 / 3;
const GREEDY_RETURN_MS = 50;
const PRECISION = 1_000;

export function partsOf({ prompt }: Call): readonly engines.Part[] {
  return prompt.parts;
}

/** Calls of all streams; `send` is called for each at its time. */
export function schedule(
  sim: fixtures.Simulation,
  random: randomness.Randomness,
  streams: readonly Stream[],
  send: (call: Call) => void,
): void {
  let count = 0;
  function call({ account, size }: Stream): void {
    count += 1;
    const kind = KINDS[size];
    const shared = `${account.name}-${size}-${Math.floor(random.share() * SHARED_PARTS)}`;
    const id = `c-${count}`;
    const parts = [
      { id: shared, tokens: kind.sharedTokens },
      { id: `own-${id}`, tokens: Math.round(kind.ownTokens * random.between(0.5, 1.5)) },
    ];
    send({
      id,
      account,
      kind,
      prompt: { model: 'model-1', parts },
      sentAtMs: sim.nowMs(),
      attempts: 0,
      firstRefusalMs: undefined,
      firstTokenMs: undefined,
      isEnded: false,
      endedAtMs: undefined,
    });
  }
  streams.forEach((stream) => {
    const next = (atMs: number) => {
      const dueMs = atMs + random.exponential((BURST * PRECISION) / stream.perS);
      if (dueMs >= stream.untilMs) return;
      sim.add(dueMs - sim.nowMs(), () => {
        Array.from({ length: BURST }).forEach(() =>
          sim.add(random.share() * BURST_SPREAD_MS, () => call(stream)),
        );
        next(dueMs);
      });
    };
    next(stream.fromMs);
  });
}

/** When a refused caller comes back; undefined if it gives up. */
export function returnInMs(
  { account, kind, sentAtMs }: Call,
  retryAfterMs: number,
  nowMs: number,
): number | undefined {
  const remainingMs = sentAtMs + kind.deadlineMs - nowMs;
  const delayMs =
    account.manner === 'greedy'
      ? GREEDY_RETURN_MS
      : Math.min(retryAfterMs, remainingMs * HEEDED_SHARE);
  return remainingMs - delayMs > kind.latencyTargetMs / BURST ? delayMs : undefined;
}
