/** The decisions of the routing task: placements, the cache directory, and what to export. */
import type * as schema from '../configuration/schema.js';
import * as keptContext from '../kept-context/index.js';
import type * as task from '../kernel/task.js';
import * as load from '../load/index.js';
import type * as messages from '../messages/index.js';
import * as results from '../results/index.js';
import * as placement from './placement.js';

/** A placed request until it has ended. */
type Placed = { upstream: string; outline: messages.PromptOutline | undefined };

export type State = {
  ownDataCentre: string;
  configuration: schema.Configuration | undefined;
  directory: keptContext.directory.Directory;
  load: load.LoadView;
  placed: Map<string, Placed>;
  nextExport: number;
};

export type Command =
  | { kind: 'reply'; replyTo: task.Address<messages.PlanMade>; message: messages.PlanMade }
  | { kind: 'export'; order: messages.ExportOrder }
  | { kind: 'resynchronize-engine'; upstream: string }
  | { kind: 'resynchronize-store'; store: string }
  | { kind: 'note-exported'; pieces: number };

type Step = task.Step<State, Command>;

export function initial(ownDataCentre: string): State {
  return {
    ownDataCentre,
    configuration: undefined,
    directory: keptContext.directory.create(),
    load: load.create(),
    placed: new Map(),
    nextExport: 1,
  };
}

export function decide(state: State, message: messages.RoutingMessage): Step {
  switch (message.type) {
    case 'configuration.adopted':
      return { state: { ...state, configuration: message.configuration }, commands: [] };
    case 'routing.plan-prompt':
      return planPrompt(state, message);
    case 'routing.plan-call':
      return planCall(state, message);
    case 'routing.finished':
      return onFinished(state, message);
    case 'engine.reported':
      return onEngineReport(state, message);
    case 'store.reported':
      return onStoreReport(state, message);
    case 'export.finished':
      return {
        state,
        commands: [{ kind: 'note-exported', pieces: message.pieces.length }],
      };
    case 'export.failed':
    case 'membership.changed':
    case 'peers.digest-received':
    case 'routing.tick':
    case 'task.start':
    case 'task.leave':
    case 'task.stop':
      return { state, commands: [] };
    default:
      return results.never(message);
  }
}

function viewsOf(state: State): placement.Views | undefined {
  const { configuration, directory, ownDataCentre } = state;
  return configuration && { configuration, directory, load: state.load, ownDataCentre };
}

const NOT_CONFIGURED: messages.Plan = {
  kind: 'refused',
  failure: { code: 'notConfigured', detail: 'the instance has not learned a configuration' },
  retryAfterMs: 1_000,
};

function planPrompt(
  state: State,
  message: Extract<messages.RoutingMessage, { type: 'routing.plan-prompt' }>,
): Step {
  const { outline, replyTo } = message;
  const views = viewsOf(state);
  const plan = views ? placement.placePrompt(views, outline) : NOT_CONFIGURED;
  return answerPlan(state, outline.requestId, plan, outline, replyTo);
}

function planCall(
  state: State,
  message: Extract<messages.RoutingMessage, { type: 'routing.plan-call' }>,
): Step {
  const { requestId, service, excluded, replyTo } = message;
  const views = viewsOf(state);
  const plan = views ? placement.placeCall(views, service, excluded) : NOT_CONFIGURED;
  return answerPlan(state, requestId, plan, undefined, replyTo);
}

function answerPlan(
  state: State,
  requestId: string,
  plan: messages.Plan,
  outline: messages.PromptOutline | undefined,
  replyTo: task.Address<messages.PlanMade>,
): Step {
  if (plan.kind === 'placed') {
    const { upstream } = plan.placement;
    load.begin(state.load, upstream);
    state.placed.set(requestId, { upstream, outline });
  }
  const message: messages.PlanMade = { type: 'plan.made', requestId, plan };
  return { state, commands: [{ kind: 'reply', replyTo, message }] };
}

function onFinished(
  state: State,
  message: Extract<messages.RoutingMessage, { type: 'routing.finished' }>,
): Step {
  const placed = state.placed.get(message.requestId);
  if (placed?.upstream !== message.upstream) return { state, commands: [] };
  state.placed.delete(message.requestId);
  load.end(state.load, message.upstream);
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

function onEngineReport(state: State, message: messages.EngineReported): Step {
  const { upstream, report } = message;
  if (report.kind === 'load') load.applyReport(state.load, upstream, report);
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
