/**
 * The life of one prompt: admission, plan, import, run, and resumption when a run breaks off.
 * The caller's stream has no gap and no repetition: tokens are matched by run id and offset.
 */
import * as keptContext from '../kept-context/index.js';
import type * as task from '../kernel/task.js';
import type * as messages from '../messages/index.js';
import * as results from '../results/index.js';
import type * as command from './command.js';
import * as truth from './truth.js';

/** Attempts for one prompt, the first included. */
export const MAX_ATTEMPTS = 4;

type PromptRequest = Extract<messages.Request, { kind: 'prompt' }>;

type Phase =
  | { kind: 'admission' }
  | { kind: 'planning' }
  | { kind: 'importing'; placement: messages.Placement }
  | { kind: 'running'; placement: messages.Placement }
  | { kind: 'ended' };

export type State = {
  request: PromptRequest;
  pieces: readonly keptContext.PieceName[];
  phase: Phase;
  attempt: number;
  excluded: readonly string[];
  startedAtMs: number;
  firstTokenAtMs: number | undefined;
  /** The next token that the caller needs. */
  offset: number;
  answered: string;
  usage: messages.Usage;
  importedTokens: number;
};

type Step = task.Step<State, command.Command>;

export function initial(request: PromptRequest): State {
  const root = keptContext.rootOf(request.clientAccount, request.service);
  return {
    request,
    pieces: keptContext.namePieces(root, request.prompt),
    phase: { kind: 'admission' },
    attempt: 0,
    excluded: [],
    startedAtMs: 0,
    firstTokenAtMs: undefined,
    offset: request.offset,
    answered: '',
    usage: { promptTokens: 0, completionTokens: 0, cachedTokens: 0 },
    importedTokens: 0,
  };
}

export function decide(state: State, message: messages.ExchangeMessage, now: task.Instant): Step {
  if (state.phase.kind === 'ended') return { state, commands: [] };
  switch (message.type) {
    case 'task.start':
      return begin(state, now);
    case 'admission.answered':
      return onAdmission(state, message.answer);
    case 'plan.made':
      return onPlan(state, message.plan);
    case 'import.finished':
      return onImported(state, message);
    case 'import.failed':
      return message.runId === runId(state) ? run(state, []) : drop(state, message.type);
    case 'run.started':
      return onStarted(state, message);
    case 'run.token':
      return onToken(state, message, now);
    case 'run.ended':
      return onEnded(state, message, now);
    case 'run.failed':
      return message.runId === runId(state) ? onBroken(state, message) : drop(state, message.type);
    case 'exchange.cancelled':
      return onCancelled(state);
    case 'exchange.timeout':
      return onTimeout(state, message.timer);
    case 'exchange.flow':
    case 'task.leave':
    case 'task.stop':
      return { state, commands: [] };
    case 'call.answered':
    case 'call.failed':
    case 'claim.answered':
    case 'claim.recorded':
      return drop(state, message.type);
    default:
      return results.never(message);
  }
}

/** Names one attempt, so that a late answer to an earlier one is recognised. */
function runId(state: State): string {
  return `${state.request.requestId}.${state.attempt}`;
}

function begin(state: State, now: task.Instant): Step {
  return {
    state: { ...state, startedAtMs: now.monotonicMs },
    commands: [
      { kind: 'ask-admission' },
      { kind: 'schedule', timer: 'deadline', delayMs: state.request.service.deadlineMs },
    ],
  };
}

function onAdmission(state: State, answer: messages.AdmissionAnswer): Step {
  switch (answer.kind) {
    case 'granted':
      return plan(state);
    case 'refused':
      return refuse(state, answer.failure, 'not-run', answer.retryAfterMs);
    default:
      return results.never(answer);
  }
}

function plan(state: State): Step {
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

function onPlan(state: State, made: messages.Plan): Step {
  if (state.phase.kind !== 'planning') return drop(state, 'plan.made');
  switch (made.kind) {
    case 'placed':
      return place(state, made);
    case 'refused':
      return refuse(state, made.failure, 'not-run', made.retryAfterMs);
    default:
      return results.never(made);
  }
}

function place(state: State, made: Extract<messages.Plan, { kind: 'placed' }>): Step {
  const { placement } = made;
  const note: command.Command = {
    kind: 'note',
    name: 'promptPlaced',
    details: {
      upstream: placement.upstream,
      reusePieces: placement.reusePieces,
      importPieces: placement.imports.length,
      expectedFirstTokenMs: Math.round(placement.expectedFirstTokenMs),
      candidates: made.candidates.map(
        (each) => `${each.upstream}=${Math.round(each.expectedFirstTokenMs)}ms`,
      ),
    },
  };
  if (placement.imports.length === 0) {
    const running = run({ ...state, phase: { kind: 'importing', placement } }, []);
    return { state: running.state, commands: [note, ...running.commands] };
  }
  const order: messages.ImportOrder = {
    runId: runId(state),
    upstream: placement.upstream,
    storeAddress: placement.storeAddress,
    manifests: placement.imports,
  };
  return {
    state: { ...state, phase: { kind: 'importing', placement } },
    commands: [note, { kind: 'import', order }],
  };
}

function onImported(
  state: State,
  message: Extract<messages.ImportReport, { type: 'import.finished' }>,
): Step {
  if (state.phase.kind !== 'importing' || message.runId !== runId(state)) {
    return drop(state, message.type);
  }
  const { imports } = state.phase.placement;
  const safe = keptContext.safePrefix(imports, message.seen);
  const running = run(
    state,
    safe.map((manifest) => manifest.piece),
  );
  if (safe.length === imports.length) return running;
  const note: command.Command = {
    kind: 'note',
    name: 'unsafeRead',
    details: { expectedPieces: imports.length, safePieces: safe.length },
  };
  return { state: running.state, commands: [note, ...running.commands] };
}

function run(state: State, adopted: readonly keptContext.PieceName[]): Step {
  if (state.phase.kind !== 'importing') return drop(state, 'import');
  const { request } = state;
  const { placement } = state.phase;
  const order: messages.RunOrder = {
    runId: runId(state),
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
  };
  return {
    state: { ...state, phase: { kind: 'running', placement } },
    commands: [
      { kind: 'run', order },
      { kind: 'schedule', timer: 'progress', delayMs: request.service.progressTimeoutMs },
    ],
  };
}

function onStarted(
  state: State,
  message: Extract<messages.RunReport, { type: 'run.started' }>,
): Step {
  if (message.runId !== runId(state)) return drop(state, message.type);
  const isFirst = state.usage.promptTokens === 0;
  const usage = {
    ...state.usage,
    promptTokens: message.promptTokens,
    cachedTokens: message.reusedTokens + message.importedTokens,
  };
  const started: command.Command = {
    kind: 'answer',
    answer: { type: 'answer.started', requestId: state.request.requestId },
  };
  return {
    state: { ...state, usage, importedTokens: message.importedTokens },
    commands: isFirst ? [started] : [],
  };
}

function onToken(
  state: State,
  message: Extract<messages.RunReport, { type: 'run.token' }>,
  now: task.Instant,
): Step {
  const isNext = message.runId === runId(state) && message.offset === state.offset;
  if (!isNext) return drop(state, message.type);
  const { requestId, service } = state.request;
  return {
    state: {
      ...state,
      offset: state.offset + 1,
      answered: state.answered + message.text,
      firstTokenAtMs: state.firstTokenAtMs ?? now.monotonicMs,
    },
    commands: [
      {
        kind: 'answer',
        answer: { type: 'answer.token', requestId, offset: message.offset, text: message.text },
      },
      { kind: 'schedule', timer: 'progress', delayMs: service.progressTimeoutMs },
      { kind: 'unschedule', timer: 'deadline' },
    ],
  };
}

function onEnded(
  state: State,
  message: Extract<messages.RunReport, { type: 'run.ended' }>,
  now: task.Instant,
): Step {
  if (state.phase.kind !== 'running' || message.runId !== runId(state)) {
    return drop(state, message.type);
  }
  if (message.tokens !== state.offset) return replan(state, 'the end came before the last token');
  const usage = { ...state.usage, completionTokens: state.offset };
  const outcome: messages.Outcome = {
    kind: 'completed',
    reusedTokens: usage.cachedTokens - state.importedTokens,
    importedTokens: state.importedTokens,
    firstTokenMs: (state.firstTokenAtMs ?? now.monotonicMs) - state.startedAtMs,
  };
  const { requestId } = state.request;
  return end({ ...state, usage }, [
    { kind: 'report', upstream: state.phase.placement.upstream, outcome },
    {
      kind: 'answer',
      answer: { type: 'answer.ended', requestId, finish: message.finish, usage },
    },
    { kind: 'count', name: 'requests.ended', by: 1 },
    { kind: 'note', name: 'requestEnded', details: { tokens: state.offset, ...usage } },
  ]);
}

/** A broken run goes on where it stood if the engine still has it, or else at another replica. */
function onBroken(
  state: State,
  message: Extract<messages.RunReport, { type: 'run.failed' }>,
): Step {
  return replan(state, results.describe(message.failure), message.reach);
}

function replan(
  state: State,
  reason: string,
  reach: messages.Reach = { kind: 'answering' },
): Step {
  if (state.phase.kind !== 'running') return drop(state, 'run.failed');
  const { upstream } = state.phase.placement;
  const report: command.Command = {
    kind: 'report',
    upstream,
    outcome: { kind: 'failed', reach },
  };
  if (state.attempt >= MAX_ATTEMPTS) {
    const failure = results.failure('runLost', reason);
    const truthOfRun = state.offset > 0 ? 'ran' : truth.truthOf(reach);
    const refused = refuse(state, failure, truthOfRun, undefined);
    return { state: refused.state, commands: [report, ...refused.commands] };
  }
  const next = plan({ ...state, excluded: [...state.excluded, upstream] });
  return {
    state: next.state,
    commands: [
      report,
      { kind: 'cancel', runId: runId(state), upstream },
      { kind: 'note', name: 'runResumed', details: { offset: state.offset, reason } },
      ...next.commands,
    ],
  };
}

function onCancelled(state: State): Step {
  if (state.phase.kind !== 'running') return end(state, []);
  const { upstream } = state.phase.placement;
  return end(state, [
    { kind: 'cancel', runId: runId(state), upstream },
    { kind: 'report', upstream, outcome: { kind: 'cancelled' } },
  ]);
}

function onTimeout(state: State, timer: messages.ExchangeTimer): Step {
  switch (timer) {
    case 'progress':
      return replan(state, 'no progress in time');
    case 'deadline':
      return onDeadline(state);
    case 'hedge':
    case 'retry':
      return { state, commands: [] };
    default:
      return results.never(timer);
  }
}

function onDeadline(state: State): Step {
  if (state.offset > state.request.offset) return { state, commands: [] };
  const failure = results.failure('deadlineUnreachable', 'no first token before the deadline');
  const cancelled = onCancelled(state);
  const refused = refuse(state, failure, state.phase.kind === 'running' ? 'unknown' : 'not-run');
  const cleanUp = cancelled.commands.filter(({ kind }) => kind === 'cancel' || kind === 'report');
  return { state: refused.state, commands: [...cleanUp, ...refused.commands] };
}

function refuse(
  state: State,
  failure: results.Failure,
  truthOfRun: results.RunTruth,
  retryAfterMs?: number,
): Step {
  const { requestId } = state.request;
  return end(state, [
    {
      kind: 'answer',
      answer: { type: 'answer.refused', requestId, failure, truth: truthOfRun, retryAfterMs },
    },
    { kind: 'count', name: 'requests.refused', by: 1 },
    {
      kind: 'note',
      name: 'requestRefused',
      details: { failure: results.describe(failure), truth: truthOfRun },
    },
  ]);
}

function end(state: State, commands: readonly command.Command[]): Step {
  return {
    state: { ...state, phase: { kind: 'ended' } },
    commands: [
      ...commands,
      { kind: 'release-admission' },
      { kind: 'unschedule', timer: 'progress' },
      { kind: 'unschedule', timer: 'deadline' },
    ],
  };
}

/** Counts a message that belongs to no step of this request: late, crossed or doubled. */
function drop(state: State, what: string): Step {
  return {
    state,
    commands: [
      { kind: 'count', name: 'answers.dropped', by: 1 },
      { kind: 'note', name: 'lateAnswerDropped', details: { message: what } },
    ],
  };
}
