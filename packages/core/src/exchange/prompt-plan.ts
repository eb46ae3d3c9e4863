/** Steps from an admitted prompt to its run: placement, import, and the run order to the engine. */
import * as keptContext from '../kept-context/index.js';
import type * as messages from '../messages/index.js';
import * as results from '../results/index.js';
import type * as command from './command.js';
import * as promptState from './prompt-state.js';

type State = promptState.State;
type Step = promptState.Step;

export function requestPlan(state: State): Step {
  const { request } = state;
  const outline: messages.PromptOutline = {
    requestId: request.requestId,
    clientAccount: request.clientAccount.name,
    service: request.service.name,
    weightVersion: request.service.weightVersion,
    pieces: state.pieces,
    promptTokens: keptContext.estimateTokens(request.prompt),
    maxTokens: request.maxTokens,
    excluded: state.excluded,
  };
  return {
    state: { ...state, phase: { kind: 'planning' }, attempt: state.attempt + 1 },
    commands: [{ kind: 'plan-prompt', outline }],
  };
}

export function onPlan(state: State, decision: messages.PlacementDecision): Step {
  if (state.phase.kind === 'withdrawing') return releasePlacement(state, decision);
  if (state.phase.kind !== 'planning') {
    return promptState.dropLateMessage(state, 'placement.decided');
  }
  switch (decision.kind) {
    case 'placed':
      return place(state, decision);
    case 'refused':
      return refuse(state, decision);
    default:
      return results.assertNever(decision);
  }
}

/** Reports a prompt that an engine may have run as lost, not merely as lacking an upstream. */
function refuse(
  state: State,
  decision: Extract<messages.PlacementDecision, { kind: 'refused' }>,
): Step {
  const { failure, retryAfterMs } = decision;
  const ended: State = { ...state, phase: { kind: 'ended' } };
  if (state.truth === 'not-run') return promptState.refuse(ended, failure, retryAfterMs);
  const lost = results.failure('runLost', results.describe(failure));
  return promptState.refuse(ended, lost, retryAfterMs);
}

/** Reports an unused placement as cancelled: routing counts placements until they are reported. */
function releasePlacement(state: State, decision: messages.PlacementDecision): Step {
  const ended: State = { ...state, phase: { kind: 'ended' } };
  if (decision.kind === 'refused') return { state: ended, commands: [] };
  const { upstream } = decision.placement;
  return {
    state: ended,
    commands: [{ kind: 'report', upstream, outcome: { kind: 'cancelled' } }],
  };
}

function place(
  state: State,
  decision: Extract<messages.PlacementDecision, { kind: 'placed' }>,
): Step {
  const { placement } = decision;
  const eventRecord: command.Command = {
    kind: 'record-event',
    name: 'promptPlaced',
    details: {
      upstream: placement.upstream,
      reusePieces: placement.reusePieces,
      importPieces: placement.imports.length,
      expectedFirstTokenMs: Math.round(placement.expectedFirstTokenMs),
      candidates: decision.candidates.map(
        (each) => `${each.upstream}=${Math.round(each.expectedFirstTokenMs)}ms`,
      ),
    },
  };
  if (placement.imports.length === 0) {
    const running = startRun({ ...state, phase: { kind: 'importing', placement } }, []);
    return { state: running.state, commands: [eventRecord, ...running.commands] };
  }
  const order: messages.ImportOrder = {
    runId: promptState.runIdOf(state),
    upstream: placement.upstream,
    storeAddress: placement.storeAddress,
    manifests: placement.imports,
    clientAccount: state.request.clientAccount.name,
    priority: state.request.service.priority,
    ...(placement.importTimeoutMs === undefined
      ? {}
      : { importTimeoutMs: placement.importTimeoutMs }),
  };
  return {
    state: { ...state, phase: { kind: 'importing', placement } },
    commands: [eventRecord, { kind: 'import', order }],
  };
}

export function onImported(
  state: State,
  message: Extract<messages.ImportReport, { type: 'import.finished' }>,
): Step {
  if (state.phase.kind !== 'importing' || message.runId !== promptState.runIdOf(state)) {
    return promptState.dropLateMessage(state, message.type);
  }
  const { imports } = state.phase.placement;
  const safe = keptContext.safePrefix(imports, message.seen);
  const running = startRun(
    state,
    safe.map((manifest) => manifest.piece),
  );
  if (safe.length === imports.length) return running;
  const eventRecord: command.Command = {
    kind: 'record-event',
    name: 'unsafeRead',
    details: { expectedPieces: imports.length, safePieces: safe.length },
  };
  return { state: running.state, commands: [eventRecord, ...running.commands] };
}

export function startRun(state: State, adopted: readonly keptContext.PieceName[]): Step {
  if (state.phase.kind !== 'importing') return promptState.dropLateMessage(state, 'import');
  const { request } = state;
  const { placement } = state.phase;
  const order: messages.RunOrder = {
    runId: promptState.runIdOf(state),
    upstream: placement.upstream,
    model: request.service.model,
    adapter: request.service.adapter,
    weightVersion: request.service.weightVersion,
    prompt: request.prompt,
    pieces: state.pieces,
    adopted,
    maxTokens: request.maxTokens,
    priority: request.service.priority,
    offset: state.offset,
    answered: state.answered,
    ...(placement.sendBeforeMs === undefined ? {} : { sendBeforeMs: placement.sendBeforeMs }),
  };
  return {
    state: { ...state, phase: { kind: 'running', placement, reconnects: 0 } },
    commands: [{ kind: 'run', order }, ...promptState.flowCommands(state, placement.upstream)],
  };
}
