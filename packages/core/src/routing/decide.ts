/** Decisions of the routing task: placement, the cache directory, store links, and retention. */
import type * as schema from '../configuration/schema.js';
import * as keptContext from '../kept-context/index.js';
import type * as task from '../kernel/task.js';
import * as links from '../links/index.js';
import * as load from '../load/index.js';
import type * as messages from '../messages/index.js';
import * as results from '../results/index.js';
import * as capacity from './capacity.js';
import * as upstreamIndex from './upstream-index.js';
import * as runCompletion from './run-completion.js';
import * as placement from './placement.js';
import type * as routing from './state.js';
import type * as queueDelay from './queue-delay.js';
import * as prefillBacklogs from './prefill-backlogs.js';

type State = routing.State;
type Command = routing.Command;
type Step = routing.Step;

/** Interval of load digests to peers, capacity reports and requests for cold-start rights. */
export const TICK_MS = 500;

export function decide(state: State, message: messages.RoutingMessage, now: task.Instant): Step {
  const { monotonicMs } = now;
  switch (message.type) {
    case 'configuration.adopted':
      return onConfiguration(state, message.configuration, now);
    case 'configuration.confirmation-status-changed':
      return {
        state: { ...state, isConfigurationConfirmed: message.confirmationStatus === 'confirmed' },
        commands: [],
      };
    case 'routing.place-prompt':
      return onPlacePrompt(state, message, now);
    case 'routing.place-call':
      return onPlaceCall(state, message, now);
    case 'routing.request-import':
      return {
        state,
        commands: links.onImport(state.links, message.order, message.replyTo, monotonicMs),
      };
    case 'import.finished':
    case 'import.failed':
      return { state, commands: links.onImportReport(state.links, message, monotonicMs) };
    case 'routing.check-imports':
      return { state, commands: links.onLateCheck(state.links, monotonicMs) };
    case 'routing.request-finished':
      return onFinished(state, message, now);
    case 'engine.reported':
      return onEngineReport(state, message, now);
    case 'store.reported':
      return onStoreReport(state, message, now);
    case 'export.finished':
    case 'export.failed':
      return onExportReport(state, message, now);
    case 'membership.changed':
      load.applyMembership(state.load, message.members, now);
      return { state, commands: [] };
    case 'cold-starts.right-changed':
      load.applyRight(state.load, message.upstream, message.right);
      return { state, commands: [] };
    case 'peers.digest-received':
      return onDigest(state, message, now);
    case 'task.start':
      return { state, commands: [{ kind: 'schedule-tick' }] };
    case 'routing.tick':
      return onTick(state, now);
    case 'task.drain':
    case 'task.stop':
      return { state, commands: [] };
    default:
      return results.assertNever(message);
  }
}

function onConfiguration(
  state: State,
  configuration: schema.Configuration,
  now: task.Instant,
): Step {
  load.applyConfiguration(state.load, configuration, now);
  const pieceBytes = keptContext.PIECE_TOKENS * configuration.limits.contextBytesPerToken;
  links.applyConfiguration(state.links, configuration, pieceBytes);
  const upstreams = new Set(configuration.upstreams.map(({ name }) => name));
  const stores = new Set(configuration.stores.map(({ name }) => name));
  prefillBacklogs.retain(state.work, upstreams);
  keptContext.directory.retain(state.directory, upstreams, stores);
  return {
    state: { ...state, configuration, fleet: upstreamIndex.build(configuration) },
    commands: [],
  };
}

function onExportReport(state: State, message: messages.ExportReport, now: task.Instant): Step {
  const commands = links.onExportReport(state.links, message, now.monotonicMs);
  switch (message.type) {
    case 'export.finished': {
      const record: Command = { kind: 'record-exported', pieces: message.pieces.length };
      return { state, commands: [record, ...commands] };
    }
    case 'export.failed':
      return { state, commands };
    default:
      return results.assertNever(message);
  }
}

function onDigest(state: State, message: messages.DigestReceived, now: task.Instant): Step {
  const digest = (message.digest ?? {}) as routing.Digest;
  load.applyDigest(state.load, message.from, digest.load, now);
  return { state, commands: [] };
}

function onTick(state: State, now: task.Instant): Step {
  const inputs = inputsOf(state, now);
  const commands: Command[] = [
    { kind: 'schedule-tick' },
    { kind: 'report-capacity', services: inputs ? capacity.ofServices(inputs) : [] },
    { kind: 'request-cold-rights', upstreams: load.coldUpstreams(state.load) },
  ];
  const loadDigest = load.buildDigest(state.load, now);
  if (loadDigest === undefined) return { state, commands };
  return { state, commands: [...commands, { kind: 'broadcast', digest: { load: loadDigest } }] };
}

function inputsOf(state: State, now: task.Instant): queueDelay.Inputs | undefined {
  const {
    configuration,
    directory,
    ownDataCentre,
    isConfigurationConfirmed,
    links: currentLinks,
    work,
  } = state;
  if (!configuration) return undefined;
  const { load: currentLoad } = state;
  return {
    configuration,
    directory,
    load: currentLoad,
    ownDataCentre,
    now,
    isConfigurationConfirmed,
    links: currentLinks,
    work,
    fleet: state.fleet,
  };
}

const NOT_CONFIGURED: messages.PlacementDecision = {
  kind: 'refused',
  failure: { code: 'notConfigured', detail: 'the instance has not learned a configuration' },
  retryAfterMs: 1_000,
};

function onPlacePrompt(
  state: State,
  message: Extract<messages.RoutingMessage, { type: 'routing.place-prompt' }>,
  now: task.Instant,
): Step {
  const { outline, replyTo } = message;
  if (outline.excluded.length === 0) {
    keptContext.reuse.recordUse(state.reuseHistory, outline, now.monotonicMs);
  }
  const inputs = inputsOf(state, now);
  const plan = inputs ? placement.placePrompt(inputs, outline) : NOT_CONFIGURED;
  return replyDecision(state, outline.requestId, plan, outline, replyTo, now);
}

function onPlaceCall(
  state: State,
  message: Extract<messages.RoutingMessage, { type: 'routing.place-call' }>,
  now: task.Instant,
): Step {
  const { requestId, service, excluded, replyTo } = message;
  const inputs = inputsOf(state, now);
  const plan = inputs ? placement.placeCall(inputs, service, excluded) : NOT_CONFIGURED;
  return replyDecision(state, requestId, plan, undefined, replyTo, now);
}

function replyDecision(
  state: State,
  requestId: string,
  plan: messages.PlacementDecision,
  outline: messages.PromptOutline | undefined,
  replyTo: task.Address<messages.PlacementDecided>,
  now: task.Instant,
): Step {
  const message: messages.PlacementDecided = {
    type: 'placement.decided',
    requestId,
    decision: plan,
  };
  if (plan.kind === 'placed') {
    const { upstream, reusePieces } = plan.placement;
    const sendBeforeMs = load.sendBeforeMs(state.load, upstream);
    if (sendBeforeMs !== undefined) {
      message.decision = { ...plan, placement: { ...plan.placement, sendBeforeMs } };
    }
    load.recordStart(state.load, upstream, now);
    state.inFlightRequests.set(requestId, { upstream, outline, reusePieces });
    if (outline) addToBacklog(state, plan.placement, outline, now);
  }
  return { state, commands: [{ kind: 'reply', replyTo, message }] };
}

/** Adds the prompt's prefill to the backlog that later prompts at the same upstream wait for. */
function addToBacklog(
  state: State,
  placed: messages.Placement,
  outline: messages.PromptOutline,
  now: task.Instant,
): void {
  const { configuration } = state;
  const upstream = state.fleet.byName.get(placed.upstream);
  const service = configuration?.services.find(({ name }) => name === outline.service);
  if (!upstream || !service) return;
  const presentTokens = (placed.reusePieces + placed.imports.length) * keptContext.PIECE_TOKENS;
  const prefillMs = placement.estimatePrefillMs(upstream, outline.promptTokens - presentTokens);
  const startsAtMs = now.monotonicMs + placed.expectedFirstTokenMs - prefillMs;
  prefillBacklogs.add(state.work, upstream.name, service.priority, prefillMs, startsAtMs);
}

function onFinished(
  state: State,
  message: Extract<messages.RoutingMessage, { type: 'routing.request-finished' }>,
  now: task.Instant,
): Step {
  const placed = state.inFlightRequests.get(message.requestId);
  if (placed?.upstream !== message.upstream) return { state, commands: [] };
  state.inFlightRequests.delete(message.requestId);
  load.recordEnd(state.load, message.upstream, message.outcome, now);
  const cancelled = links.cancelImportsOf(state.links, message.requestId, now.monotonicMs);
  if (message.outcome.kind !== 'completed' || !placed.outline) {
    return { state, commands: cancelled };
  }
  const { reusedTokens } = message.outcome;
  const commands = runCompletion.onCompleted(state, placed, placed.outline, reusedTokens, now);
  return { state, commands: [...cancelled, ...commands] };
}

function onEngineReport(state: State, message: messages.EngineReported, now: task.Instant): Step {
  const { upstream, report } = message;
  if (report.kind === 'load' || report.kind === 'silent') {
    load.applyReport(state.load, upstream, report, now);
  }
  const applied = keptContext.directory.applyEngineReport(state.directory, upstream, report);
  if (applied !== 'gap') return { state, commands: [] };
  return { state, commands: [{ kind: 'request-engine-snapshot', upstream }] };
}

function onStoreReport(state: State, message: messages.StoreReported, now: task.Instant): Step {
  const { store, report } = message;
  const applied = keptContext.directory.applyStoreReport(state.directory, store, report);
  const commands =
    report.kind === 'silent' ? links.onStoreSilent(state.links, store, now.monotonicMs) : [];
  if (applied !== 'gap') return { state, commands };
  return { state, commands: [...commands, { kind: 'request-store-snapshot', store }] };
}
