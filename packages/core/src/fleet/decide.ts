/** The decisions of the fleet's task. State is updated in place: no other task sees it. */
import type * as routes from '../gateway/routes.js';
import type * as task from '../kernel/task.js';
import type * as fleetMessages from '../messages/fleet.js';
import type * as gatewayMessages from '../messages/gateway.js';
import * as results from '../results/index.js';
import type * as view from '../rollouts/view.js';
import * as sharedContext from '../shared-context/index.js';
import * as evidence from './evidence.js';
import * as listing from './listing.js';
import type * as peerWork from './peer-work.js';
import * as placement from './placement.js';
import * as readRate from './read-rate.js';
import type * as fleet from './state.js';
import * as telling from './telling.js';
import * as views from './views.js';

export type Command =
  | {
      kind: 'reply';
      replyTo: gatewayMessages.RequestAddress;
      message: gatewayMessages.RequestMessage;
    }
  | { kind: 'probe'; probe: gatewayMessages.Probe }
  | { kind: 'tell-rollouts'; upstreams: readonly view.RolledUpstream[] }
  | {
      kind: 'tell-replaced';
      stores: readonly routes.ContextStore[];
      held: readonly view.Held[];
    }
  | { kind: 'limit-connections'; connectionsPerUpstream: Readonly<Record<string, number>> }
  | { kind: 'schedule-tick' }
  | { kind: 'schedule-tell'; delayMs: number }
  | { kind: 'tell-peers'; note: peerWork.Note }
  | { kind: 'note-placed'; wish: placement.Wish; placed: placement.Placed }
  | { kind: 'note-upstream'; id: string; text: string; ageMs: number }
  | { kind: 'note-named'; versions: Readonly<Record<string, number>> }
  | { kind: 'note-evacuated'; dataCentres: readonly string[] };

export type Step = task.Step<fleet.State, Command>;

/** Probes of silent upstreams, removals of lapsed entries and reports to the rollout's task. */
export const TICK_MS = 500;
/** Instances beyond those known that may hold connections: restarts and replacements. */
const SPARE_INSTANCES = 2;
/** Share of an upstream's connections that is divided among the instances. */
const CONNECTION_SHARE = 0.8;

export function decide(
  state: fleet.State,
  message: fleetMessages.FleetMessage,
  now: task.Instant,
): Step {
  switch (message.type) {
    case 'fleet.place':
      return onPlace(state, message, now);
    case 'fleet.attempt-ended':
      return onOutcome(state, message, now);
    case 'fleet.upstream-responded':
      return onHeard(state, message, now);
    case 'fleet.check-liveness':
      return onAskLiveness(state, message, now);
    case 'fleet.probe-finished':
      return onProbed(state, message, now);
    case 'fleet.upstream-list-read':
      return onListed(state, message.news, now);
    case 'fleet.upstream-list-unavailable':
      listing.disturbed(state.listing, now);
      return { state, commands: [] };
    case 'fleet.table-adopted':
      return onTable(state, message.table);
    case 'fleet.members-changed':
      return withLimits({ ...state, members: message.names });
    case 'fleet.evacuations-changed':
      return onEvacuated(state, message.dataCentres);
    case 'fleet.newest-weights-changed':
      return onNamed(state, message.versions, now);
    case 'fleet.store-changed':
      sharedContext.holdings.take(state.holdings, message.store, message.news, now);
      return { state, commands: [] };
    case 'fleet.peer-update':
      return { state: telling.hear(state, message.note, now), commands: [] };
    case 'fleet.publish-work':
      return onTell(state, now);
    case 'fleet.tick':
      return onTick(state, now);
    case 'task.start':
      return { state, commands: [{ kind: 'schedule-tick' }] };
    case 'task.drain':
    case 'task.stop':
      return { state, commands: [] };
    default:
      return results.assertNever(message);
  }
}

type Of<Type extends fleetMessages.FleetMessage['type']> = Extract<
  fleetMessages.FleetMessage,
  { type: Type }
>;

function onPlace(
  state: fleet.State,
  { placementRequest, replyTo }: Of<'fleet.place'>,
  now: task.Instant,
): Step {
  const placed = placement.place(state, placementRequest, now);
  const message: gatewayMessages.RequestMessage =
    placed.kind === 'placed'
      ? { type: 'fleet.placed', placement: placed.placement }
      : { type: 'fleet.not-placed', reason: placed.reason };
  return {
    state,
    commands: [
      { kind: 'note-placed', wish: placementRequest, placed },
      { kind: 'reply', replyTo, message },
      ...(placed.kind === 'placed' ? tellLater(state, placed.placement) : []),
    ],
  };
}

function tellLater(
  state: fleet.State,
  changed: Pick<gatewayMessages.Destination, 'upstream' | 'context'>,
): readonly Command[] {
  if (!telling.noteChange(state.telling, changed)) return [];
  return [{ kind: 'schedule-tell', delayMs: telling.pauseMs(state) }];
}

function onTell(state: fleet.State, now: task.Instant): Step {
  const { note, isMoreLeft } = telling.next(state, now);
  const again: readonly Command[] = isMoreLeft
    ? [{ kind: 'schedule-tell', delayMs: telling.pauseMs(state) }]
    : [];
  return { state, commands: note ? [{ kind: 'tell-peers', note }, ...again] : again };
}

function onOutcome(
  state: fleet.State,
  { requestId, upstream: id, outcome }: Of<'fleet.attempt-ended'>,
  now: task.Instant,
): Step {
  const upstream = state.listing.upstreams.get(id);
  if (!upstream) return { state, commands: [] };
  const before = upstream.reach.kind;
  evidence.onOutcome(upstream, requestId, outcome, now);
  const told = tellLater(state, { upstream: id, context: undefined });
  if (before === upstream.reach.kind) return { state, commands: told };
  const text = `does not answer: ${outcome}`;
  const ageMs = now.monotonicMs - upstream.heardAtMs;
  return { state, commands: [...told, { kind: 'note-upstream', id, text, ageMs }] };
}

function onHeard(
  state: fleet.State,
  { upstream: id, requestId, selfReport }: Of<'fleet.upstream-responded'>,
  now: task.Instant,
): Step {
  const upstream = state.listing.upstreams.get(id);
  if (!upstream) return { state, commands: [] };
  const versions = [...upstream.versions.values()].join();
  const begun = evidence.onHeard(upstream, requestId, selfReport, now);
  if (begun) readRate.learn(state, upstream.listed.service, begun, now);
  const hasChanged = versions !== [...upstream.versions.values()].join();
  return {
    state,
    commands: [
      ...(begun ? tellLater(state, { upstream: id, context: undefined }) : []),
      ...(hasChanged ? [views.toRollouts(state)] : []),
    ],
  };
}

/** A silent upstream is asked for a sign of life; the request asks again after the answer is due. */
function onAskLiveness(
  state: fleet.State,
  { attempt, upstream: id, replyTo }: Of<'fleet.check-liveness'>,
  now: task.Instant,
): Step {
  const upstream = state.listing.upstreams.get(id);
  const isSilent = !upstream || upstream.reach.kind === 'silent';
  const reply: Command = {
    kind: 'reply',
    replyTo,
    message: { type: 'fleet.liveness-checked', attempt, isSilent },
  };
  if (!upstream || isSilent || !evidence.isSilent(upstream, now)) {
    return { state, commands: [reply] };
  }
  const { address } = upstream.listed;
  return {
    state,
    commands: [reply, { kind: 'probe', probe: { kind: 'liveness', upstream: id, address } }],
  };
}

function onProbed(
  state: fleet.State,
  { probe, result }: Of<'fleet.probe-finished'>,
  now: task.Instant,
): Step {
  const upstream = state.listing.upstreams.get(probe.upstream);
  if (!upstream) return { state, commands: [] };
  const { reach, listed } = upstream;
  const ageMs = now.monotonicMs - upstream.heardAtMs;
  const id = probe.upstream;
  switch (result.kind) {
    case 'no-response':
      if (reach.kind === 'silent') return { state, commands: [] };
      Object.assign(upstream, { reach: { kind: 'silent' } });
      return {
        state,
        commands: [{ kind: 'note-upstream', id, text: 'a probe got no answer', ageMs }],
      };
    case 'unhealthy':
      return { state, commands: [] };
    case 'healthy': {
      if (probe.kind === 'liveness') Object.assign(upstream, { heardAtMs: now.monotonicMs });
      if (probe.kind === 'liveness' || reach.kind !== 'silent') return { state, commands: [] };
      const coldStartMs = state.services.get(listed.service)?.coldStartMs ?? 0;
      evidence.onBack(upstream, result.coldMs ?? coldStartMs, now);
      return { state, commands: [{ kind: 'note-upstream', id, text: 'answers again', ageMs }] };
    }
    default:
      return results.assertNever(result);
  }
}

function onListed(state: fleet.State, news: listing.News, now: task.Instant): Step {
  const changed = listing.take(state.listing, news, now);
  return { state, commands: [...views.describe(state, changed), ...afterChange(state, changed)] };
}

function afterChange(state: fleet.State, changed: readonly string[]): readonly Command[] {
  return changed.length === 0 ? [] : [views.toRollouts(state)];
}

function onTable(state: fleet.State, table: routes.RoutingTable): Step {
  const services = new Map(table.services.map((service) => [service.name, service]));
  return withLimits({ ...state, services, contextStores: table.contextStores });
}

function withLimits(state: fleet.State): Step {
  const instances = Math.max(1, state.members.length) + SPARE_INSTANCES;
  const limits = [...state.services.values()].map(({ name, maxConnections }) => [
    name,
    Math.max(1, Math.floor((maxConnections * CONNECTION_SHARE) / instances)),
  ]);
  const connectionsPerUpstream = Object.fromEntries(limits) as Record<string, number>;
  return { state, commands: [{ kind: 'limit-connections', connectionsPerUpstream }] };
}

function onEvacuated(state: fleet.State, dataCentres: readonly string[]): Step {
  return {
    state: { ...state, evacuated: new Set(dataCentres) },
    commands: [{ kind: 'note-evacuated', dataCentres }],
  };
}

/** Weights that were named before this process began may have been named long ago. */
function onNamed(
  state: fleet.State,
  versions: Readonly<Record<string, number>>,
  now: task.Instant,
): Step {
  const named = Object.entries(versions).map(([model, version]): [string, fleet.Named] => {
    const known = state.named.get(model);
    const sinceMs = state.hasReadNames ? now.monotonicMs : -Infinity;
    return [model, known?.version === version ? known : { version, sinceMs }];
  });
  return {
    state: { ...state, named: new Map(named), hasReadNames: true },
    commands: [{ kind: 'note-named', versions }],
  };
}

/** Silent upstreams are probed, since no request will show that they are back. */
function onTick(given: fleet.State, now: task.Instant): Step {
  const state = telling.expire(views.withLowest(given, now), now);
  const expired = listing.expire(state.listing, now);
  const all = [...state.listing.upstreams.values()];
  all.forEach((upstream) => evidence.fade(upstream, now.monotonicMs));
  const probes = all.flatMap((upstream) => views.probeFor(state, upstream));
  return {
    state,
    commands: [
      { kind: 'schedule-tick' },
      { kind: 'tell-peers', note: telling.whole(state, now) },
      ...views.describe(state, expired),
      ...probes.map((probe): Command => ({ kind: 'probe', probe })),
      views.toRollouts(state),
      { kind: 'tell-replaced', stores: state.contextStores, held: views.replaced(state, now) },
    ],
  };
}
