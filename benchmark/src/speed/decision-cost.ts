/** Processor time of a placement, by the number of upstreams. */
import * as policies from './policies.js';
import * as scenarios from './scenarios.js';

type Policy = Extract<policies.Policy, 'before' | 'predicted'>;

export type Cost = {
  upstreams: number;
  policy: Policy;
  compares: 'all' | 'two';
  microseconds: number;
};

const SIZES: readonly number[] = [42, 63, 380];
const POLICIES: readonly Policy[] = ['before', 'predicted'];
const SCOPES = ['all', 'two'] as const;
const ROUNDS = 400;
const WARM_UP = 200;
const BOUNDS = { coldOverrun: 1.5, coldSlack: 5, rolloutMs: 8_000 };

export function measure(): readonly Cost[] {
  return SIZES.flatMap((upstreams) =>
    POLICIES.flatMap((policy) =>
      SCOPES.map((compares) => ({
        upstreams,
        policy,
        compares,
        microseconds: microseconds(upstreams, policy, compares),
      })),
    ),
  );
}

function microseconds(upstreams: number, policy: Policy, compares: Cost['compares']): number {
  const [scenario] = scenarios.ALL;
  const kind = scenario?.kinds[0];
  if (!scenario || !kind) throw new Error('a scenario with a kind of request is needed');
  const ids = Array.from({ length: upstreams }, (_, at) => `i-${String(at).padStart(10, 'a')}`);
  const state = policies.createState(scenario, policy, {
    name: 'instance-0',
    names: ['instance-0', 'instance-1'],
    ids,
    sharing: compares === 'all' ? 'with-all' : 'through-reader',
    bounds: BOUNDS,
  });
  const placeOne = (at: number) => {
    const now = { monotonicMs: 10_000 + at, wallMs: at };
    const requestId = `r-${at}`;
    const request = policies.requestOf(requestId, 'models', kind);
    const placed = policies.place(policy, state, request, now, () => 0);
    if (placed.kind !== 'placed') return;
    state.registry.upstreams.get(placed.destination.upstream)?.inFlight.delete(requestId);
  };
  for (let at = 0; at < WARM_UP; at += 1) placeOne(at);
  const before = process.cpuUsage();
  for (let at = 0; at < ROUNDS; at += 1) placeOne(WARM_UP + at);
  const { user, system } = process.cpuUsage(before);
  return Math.round((user + system) / ROUNDS);
}

export function line({ upstreams, policy, compares, microseconds: cost }: Cost): string {
  return `a decision at ${upstreams} upstreams, ${policy}, comparing ${compares}: ${cost} µs`;
}
