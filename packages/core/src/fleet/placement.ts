/** Where a request goes: the upstream with the least expected time to the first byte. */
import type * as request from '../gateway/request.js';
import type * as routes from '../gateway/routes.js';
import type * as task from '../kernel/task.js';
import * as rendezvous from '../membership/rendezvous.js';
import type * as messages from '../messages/gateway.js';
import * as wave from '../rollouts/wave.js';
import * as sharedContext from '../shared-context/index.js';
import * as coldShare from './cold-share.js';
import * as queue from './queue.js';
import * as readRate from './read-rate.js';
import type * as fleet from './state.js';
import * as upstreams from './upstream.js';

export type Wish = {
  requestId: string;
  service: string;
  prompt: request.Prompt | undefined;
  /** The client account's name if it shares no context. */
  isolatedAccount: string | undefined;
  excluded: readonly string[];
  /** The time to the first part of the answer that callers count on. */
  targetMs: number;
  /** Whether it may be refused: not once an answer has begun. */
  mayRefuse: boolean;
};

export type Placed =
  | { kind: 'placed'; placement: messages.Destination; costMs: number; candidates: number }
  | { kind: 'none'; reason: messages.PlacementRefusal };

/** The way to another data centre and back, with the price of the bytes between them. */
const OTHER_CENTRE_MS = 10;
/** Keeps requests with the same context together where all else is equal. */
const RANK_STEP_MS = 3;
/** Weights that were replaced a while ago: the answer is worth a fifth less. */
const OLD_WEIGHTS_MS = 160;
/** Until then an answer of replaced weights is worth as much as another. */
const OLD_WEIGHTS_FREE_MS = 1_500;
/** An upstream that may take a request now may begin it a little later. */
const ROLLOUT_MARGIN_MS = 700;
/** About to load weights: new work would have to wait for that. */
const IN_WAVE_MS = 4_000;
/** Runs dry for the next load: used only where all others are much slower. */
const NEXT_WAVE_MS = 1_500;
/** Each recent fault, as a wait. */
const FAULT_MS = 80;
/** Rejected work a moment ago: it would most likely reject this as well, at the cost of a retry. */
const BUSY_MS = 3_000;
/** A cold upstream is slower. */
const COLD_MS = 40;
/** Share of the target that work ahead may take: reading the prompt itself needs the rest. */
const MAX_WAIT_SHARE = 0.75;
/** Parts that were sent this recently are likely to be in the upstream's memory still. */
const RECENT_MS = 15_000;
/** A fetch takes about this share of the time of reading. */
const FETCH_SHARE = 0.5;
/** Of the smoothed latency, what counts. At an engine it follows the prompts more than the engine. */
const LATENCY_SHARE = 0.5;
const ENGINE_LATENCY_SHARE = 0.1;

/** An upstream that may take the request, with what was reckoned of it. */
type Candidate = {
  upstream: upstreams.Upstream;
  ahead: queue.Queue;
  /** Tokens of the prompt that have to get there by reading; a fetch counts for a share of them. */
  tokens: number;
  costMs: number;
};

export type View = { state: fleet.State; service: routes.Service; wish: Wish; now: task.Instant };

export function place(state: fleet.State, wish: Wish, now: task.Instant): Placed {
  const service = state.services.get(wish.service);
  if (!service) return { kind: 'none', reason: 'unknown-service' };
  const view: View = { state, service, wish, now };
  const usable = [...state.listing.upstreams.values()].filter((each) => isUsable(view, each));
  if (usable.length === 0) return { kind: 'none', reason: 'none-usable' };
  const open = usable.filter((each) => isOpen(view, each));
  if (open.length === 0) return { kind: 'none', reason: 'cold' };
  const waves = wavesOf(view, usable);
  const ranks = rankOf(view, open);
  const toRead = promptReader(view);
  const candidates = open
    .map((each): Candidate => {
      const ahead = queue.at(view, each);
      const tokens = toRead(each);
      const rankMs = ranks.get(each.listed.id) ?? 0;
      return {
        upstream: each,
        ahead,
        tokens,
        costMs: cost(view, each, ahead, tokens, waves) + rankMs,
      };
    })
    .sort((a, b) => a.costMs - b.costMs);
  const best = candidates[0];
  if (!best || isTooLate(view, best)) return { kind: 'none', reason: 'full' };
  return {
    kind: 'placed',
    placement: book(view, best),
    costMs: Math.round(best.costMs),
    candidates: open.length,
  };
}

/**
 * Whether the first part of the answer would come too late to be of full use. Work beyond that would
 * make all that follows late as well, so it is refused while its caller can still go elsewhere.
 */
function isTooLate({ wish }: View, { ahead }: Candidate): boolean {
  return wish.mayRefuse && ahead.waitMs > wish.targetMs * MAX_WAIT_SHARE;
}

/** Whether new work may go there at all. */
export function isUsable(view: View, upstream: upstreams.Upstream): boolean {
  const { state, wish } = view;
  const { listed, standing, reach } = upstream;
  const isStanding = standing.kind === 'listed' || standing.kind === 'missing';
  return (
    isStanding &&
    reach.kind === 'answers' &&
    listed.service === wish.service &&
    !state.evacuated.has(listed.dataCentre) &&
    !wish.excluded.includes(listed.id) &&
    servesModel(wish, listed) &&
    !hasExpired(view, upstream)
  );
}

/** Requests must not begin on weights that were replaced too long ago. */
function hasExpired({ state, wish, now }: View, upstream: upstreams.Upstream): boolean {
  const named = state.named.get(wish.prompt?.model ?? '');
  if (!named || !isBehind(state, wish, upstream)) return false;
  return now.monotonicMs - named.sinceMs > state.bounds.rolloutMs - ROLLOUT_MARGIN_MS;
}

function servesModel({ prompt }: Wish, { models }: upstreams.Listed): boolean {
  return !prompt || models.some(({ model }) => model === prompt.model);
}

function isOpen({ state, service, now }: View, upstream: upstreams.Upstream): boolean {
  if (!coldShare.isCold(upstream, now.monotonicMs) || service.coldPerS <= 0) return true;
  return coldShare.maySend(state, service, upstream, now.monotonicMs);
}

type Waves = { now: ReadonlySet<string>; next: ReadonlySet<string> };

function wavesOf({ state, wish }: View, usable: readonly upstreams.Upstream[]): Waves {
  const model = wish.prompt?.model;
  const version = model === undefined ? undefined : state.named.get(model)?.version;
  if (model === undefined || version === undefined) return { now: new Set(), next: new Set() };
  const candidates = usable.map((each) => ({
    id: each.listed.id,
    version: each.versions.get(model) ?? 0,
  }));
  const { now, next } = wave.waves(model, version, candidates);
  return { now: new Set(now), next: new Set(next) };
}

/** Small costs in the order of rendezvous hashing of the last part that requests share. */
function rankOf({ wish }: View, open: readonly upstreams.Upstream[]): ReadonlyMap<string, number> {
  const key = wish.prompt?.parts.at(-2)?.id ?? wish.requestId;
  const ranked = rendezvous.rank(
    key,
    open.map(({ listed }) => listed.id),
  );
  return new Map(ranked.map((id, at) => [id, at * RANK_STEP_MS]));
}

function cost(
  view: View,
  upstream: upstreams.Upstream,
  ahead: queue.Queue,
  tokens: number,
  waves: Waves,
): number {
  const { state, now } = view;
  const { listed, latencyMs = 0 } = upstream;
  const isElsewhere = listed.dataCentre !== state.dataCentre;
  return (
    ahead.costMs +
    tokens / readRate.of(view.state, view.service.name) +
    latencyMs * (view.service.engine ? ENGINE_LATENCY_SHARE : LATENCY_SHARE) +
    upstreams.faultsNow(upstream, now.monotonicMs) * FAULT_MS +
    (isElsewhere ? OTHER_CENTRE_MS : 0) +
    (upstream.busyUntilMs > now.monotonicMs ? BUSY_MS : 0) +
    (coldShare.isCold(upstream, now.monotonicMs) ? COLD_MS : 0) +
    oldWeightsMs(view, upstream) +
    (waves.now.has(listed.id) ? IN_WAVE_MS : 0) +
    (waves.next.has(listed.id) ? NEXT_WAVE_MS : 0)
  );
}

function oldWeightsMs({ state, wish, now }: View, upstream: upstreams.Upstream): number {
  const named = state.named.get(wish.prompt?.model ?? '');
  if (!named || !isBehind(state, wish, upstream)) return 0;
  return now.monotonicMs - named.sinceMs > OLD_WEIGHTS_FREE_MS ? OLD_WEIGHTS_MS : 0;
}

function isBehind({ named }: fleet.State, { prompt }: Wish, { versions }: upstreams.Upstream) {
  if (!prompt) return false;
  return (versions.get(prompt.model) ?? 0) < (named.get(prompt.model)?.version ?? 0);
}

type Reading = { key: string; tokens: number };

/** Tells for each upstream what it has to read; what the stores hold is looked up once for each salt. */
function promptReader(view: View): (upstream: upstreams.Upstream) => number {
  const { wish, now } = view;
  const { prompt } = wish;
  if (!prompt) return () => 0;
  const bySalt = new Map<string, readonly Reading[]>();
  return (upstream) => {
    const salt = sharedContext.salt.format(saltOf(wish, prompt, upstream));
    const readings = bySalt.get(salt) ?? readingsOf(view, prompt, salt);
    bySalt.set(salt, readings);
    return readings
      .filter(
        ({ key }) => now.monotonicMs - (upstream.recentParts.get(key) ?? -Infinity) >= RECENT_MS,
      )
      .reduce((sum, { tokens }) => sum + tokens, 0);
  };
}

function readingsOf(
  { state, now }: View,
  { parts }: request.Prompt,
  salt: string,
): readonly Reading[] {
  const situation = { holdings: state.holdings, stores: state.contextStores, now };
  return parts.map(({ id, tokens }) => {
    const isStored = sharedContext.plan.findStore(situation, salt, id) !== undefined;
    const key = sharedContext.holdings.partKey(salt, id);
    return { key, tokens: isStored ? tokens * FETCH_SHARE : tokens };
  });
}

function saltOf({ isolatedAccount }: Wish, prompt: request.Prompt, upstream: upstreams.Upstream) {
  const version = upstream.versions.get(prompt.model) ?? 0;
  return { model: prompt.model, version, isolatedAccount };
}

/** Notes the work at the upstream and says what the attempt names of kept context. */
function book(view: View, { upstream, ahead, tokens }: Candidate): messages.Destination {
  const { state, service, wish, now } = view;
  const { id, address } = upstream.listed;
  if (service.coldPerS > 0 && coldShare.isCold(upstream, now.monotonicMs)) {
    coldShare.book(state, service, upstream, now.monotonicMs);
  }
  upstream.underWay.set(wish.requestId, {
    startedAtMs: now.monotonicMs,
    tokens,
    promptTokens: promptTokens(wish),
    aheadTokens: tokens + ahead.unreadTokens,
    isAnswered: false,
  });
  return {
    upstream: id,
    address,
    service: service.name,
    context: contextFor(view, upstream),
    expected: { waitMs: Math.round(ahead.waitMs), tokensToRead: Math.round(tokens) },
  };
}

function promptTokens({ prompt }: Wish): number {
  return prompt?.parts.reduce((sum, { tokens }) => sum + tokens, 0) ?? 0;
}

function contextFor({ state, service, wish, now }: View, upstream: upstreams.Upstream) {
  if (!wish.prompt || !service.engine) return undefined;
  const { prompt } = wish;
  const situation = { holdings: state.holdings, stores: state.contextStores, now };
  const context = sharedContext.plan.plan(situation, prompt, saltOf(wish, prompt, upstream));
  upstreams.noteParts(upstream, context.salt, context.sharedParts, now);
  return context;
}
