/** The decisions of the routing task: placements, the cache directory, and what to export. */
import type * as schema from '../configuration/schema.js';
import * as keptContext from '../kept-context/index.js';
import type * as task from '../kernel/task.js';
import * as load from '../load/index.js';
import type * as messages from '../messages/index.js';
import * as results from '../results/index.js';
import * as capacity from './capacity.js';
import type * as eligible from './eligible.js';
import * as placement from './placement.js';

/** A placed request until it has ended. */
type Placed = { upstream: string; outline: messages.PromptOutline | undefined };

export type State = {
  ownDataCentre: string;
  configuration: schema.Configuration | undefined;
  isConfirmed: boolean;
  directory: keptContext.directory.Directory;
  load: load.LoadView;
  placed: Map<string, Placed>;
  nextExport: number;
};

/** What instances tell each other for routing; each part is checked by the part that reads it. */
type Digest = { load?: unknown; directory?: unknown };

/** How often instances tell each other about load and kept context. */
export const TICK_MS = 500;

export type Command =
  | { kind: 'reply'; replyTo: task.Address<messages.PlanMade>; message: messages.PlanMade }
  | { kind: 'export'; order: messages.ExportOrder }
  | { kind: 'resynchronize-engine'; upstream: string }
  | { kind: 'resynchronize-store'; store: string }
  | { kind: 'note-exported'; pieces: number }
  | { kind: 'broadcast'; digest: Digest }
  | { kind: 'tell-capacity'; services: readonly capacity.ServiceCapacity[] }
  | { kind: 'want-cold-rights'; upstreams: readonly string[] }
  | { kind: 'schedule-tick' };

type Step = task.Step<State, Command>;

export function initial(ownName: string, ownDataCentre: string): State {
  return {
    ownDataCentre,
    configuration: undefined,
    isConfirmed: true,
    directory: keptContext.directory.create(),
    load: load.create(ownName),
    placed: new Map(),
    nextExport: 1,
  };
}

export function decide(state: State, message: messages.RoutingMessage, now: task.Instant): Step {
  switch (message.type) {
    case 'configuration.adopted':
      load.applyConfiguration(state.load, message.configuration, now);
      return { state: { ...state, configuration: message.configuration }, commands: [] };
    case 'configuration.confidence':
      return {
        state: { ...state, isConfirmed: message.confidence === 'confirmed' },
        commands: [],
      };
    case 'routing.plan-prompt':
      return planPrompt(state, message, now);
    case 'routing.plan-call':
      return planCall(state, message, now);
    case 'routing.finished':
      return onFinished(state, message, now);
    case 'engine.reported':
      return onEngineReport(state, message, now);
    case 'store.reported':
      return onStoreReport(state, message);
    case 'export.finished':
      return {
        state,
        commands: [{ kind: 'note-exported', pieces: message.pieces.length }],
      };
    case 'membership.changed':
      load.applyMembership(state.load, message.members, now);
      return { state, commands: [] };
    case 'cold-starts.changed':
      load.applyRight(state.load, message.upstream, message.right);
      return { state, commands: [] };
    case 'peers.digest-received':
      return onDigest(state, message, now);
    case 'task.start':
      return { state, commands: [{ kind: 'schedule-tick' }] };
    case 'routing.tick':
      return onTick(state, now);
    case 'export.failed':
    case 'task.leave':
    case 'task.stop':
      return { state, commands: [] };
    default:
      return results.never(message);
  }
}

function onDigest(state: State, message: messages.DigestReceived, now: task.Instant): Step {
  const found = (message.digest ?? {}) as Digest;
  load.applyDigest(state.load, message.from, found.load, now);
  return { state, commands: [] };
}

function onTick(state: State, now: task.Instant): Step {
  const views = viewsOf(state, now);
  const commands: Command[] = [
    { kind: 'schedule-tick' },
    { kind: 'tell-capacity', services: views ? capacity.ofServices(views) : [] },
    { kind: 'want-cold-rights', upstreams: load.coldUpstreams(state.load) },
  ];
  const loadDigest = load.digest(state.load, now);
  if (loadDigest === undefined) return { state, commands };
  return { state, commands: [...commands, { kind: 'broadcast', digest: { load: loadDigest } }] };
}

function viewsOf(state: State, now: task.Instant): eligible.Views | undefined {
  const { configuration, directory, ownDataCentre, isConfirmed } = state;
  return (
    configuration && { configuration, directory, load: state.load, ownDataCentre, now, isConfirmed }
  );
}

const NOT_CONFIGURED: messages.Plan = {
  kind: 'refused',
  failure: { code: 'notConfigured', detail: 'the instance has not learned a configuration' },
  retryAfterMs: 1_000,
};

function planPrompt(
  state: State,
  message: Extract<messages.RoutingMessage, { type: 'routing.plan-prompt' }>,
  now: task.Instant,
): Step {
  const { outline, replyTo } = message;
  const views = viewsOf(state, now);
  const plan = views ? placement.placePrompt(views, outline) : NOT_CONFIGURED;
  return answerPlan(state, outline.requestId, plan, outline, replyTo, now);
}

function planCall(
  state: State,
  message: Extract<messages.RoutingMessage, { type: 'routing.plan-call' }>,
  now: task.Instant,
): Step {
  const { requestId, service, excluded, replyTo } = message;
  const views = viewsOf(state, now);
  const plan = views ? placement.placeCall(views, service, excluded) : NOT_CONFIGURED;
  return answerPlan(state, requestId, plan, undefined, replyTo, now);
}

function answerPlan(
  state: State,
  requestId: string,
  plan: messages.Plan,
  outline: messages.PromptOutline | undefined,
  replyTo: task.Address<messages.PlanMade>,
  now: task.Instant,
): Step {
  const message: messages.PlanMade = { type: 'plan.made', requestId, plan };
  if (plan.kind === 'placed') {
    const { upstream } = plan.placement;
    const sendBeforeMs = load.sendBeforeMs(state.load, upstream);
    if (sendBeforeMs !== undefined) {
      message.plan = { ...plan, placement: { ...plan.placement, sendBeforeMs } };
    }
    load.begin(state.load, upstream, now);
    state.placed.set(requestId, { upstream, outline });
  }
  return { state, commands: [{ kind: 'reply', replyTo, message }] };
}

function onFinished(
  state: State,
  message: Extract<messages.RoutingMessage, { type: 'routing.finished' }>,
  now: task.Instant,
): Step {
  const placed = state.placed.get(message.requestId);
  if (placed?.upstream !== message.upstream) return { state, commands: [] };
  state.placed.delete(message.requestId);
  load.end(state.load, message.upstream, message.outcome, now);
  if (message.outcome.kind !== 'completed' || !placed.outline) return { state, commands: [] };
  const { pieces } = placed.outline;
  keptContext.directory.correct(state.directory, message.upstream, pieces, pieces.length);
  return exportPieces(state, message.upstream, pieces);
}

/** Sends what no store holds to a store near the engine. */
function exportPieces(
  state: State,
  upstream: string,
  pieces: readonly keptContext.PieceName[],
): Step {
  const missing = pieces.filter((p) => !keptContext.directory.isStored(state.directory, p));
  const store = chooseStore(state, upstream);
  if (missing.length === 0 || !store) return { state, commands: [] };
  const order: messages.ExportOrder = {
    exportId: String(state.nextExport),
    upstream,
    store: store.name,
    storeAddress: store.address,
    pieces: missing,
    tier: 'memory',
  };
  return {
    state: { ...state, nextExport: state.nextExport + 1 },
    commands: [{ kind: 'export', order }],
  };
}

function chooseStore(state: State, upstream: string): schema.Store | undefined {
  const stores = state.configuration?.stores.filter(({ presence }) => presence === 'in') ?? [];
  const home = state.configuration?.upstreams.find(({ name }) => name === upstream)?.dataCentre;
  return stores.find(({ dataCentre }) => dataCentre === home) ?? stores[0];
}

function onEngineReport(state: State, message: messages.EngineReported, now: task.Instant): Step {
  const { upstream, report } = message;
  if (report.kind === 'load' || report.kind === 'silent') {
    load.applyReport(state.load, upstream, report, now);
  }
  const applied = keptContext.directory.applyEngineReport(state.directory, upstream, report);
  if (applied !== 'gap') return { state, commands: [] };
  return { state, commands: [{ kind: 'resynchronize-engine', upstream }] };
}

function onStoreReport(state: State, message: messages.StoreReported): Step {
  const { store, report } = message;
  const applied = keptContext.directory.applyStoreReport(state.directory, store, report);
  if (applied !== 'gap') return { state, commands: [] };
  return { state, commands: [{ kind: 'resynchronize-store', store }] };
}
