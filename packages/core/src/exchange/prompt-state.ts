/** The state of one prompt's life, and the small steps that end it. */
import * as keptContext from '../kept-context/index.js';
import type * as task from '../kernel/task.js';
import type * as messages from '../messages/index.js';
import * as results from '../results/index.js';
import type * as command from './command.js';

/** Attempts for one prompt, the first included. */
export const MAX_ATTEMPTS = 4;

type PromptRequest = Extract<messages.CallerRequest, { kind: 'prompt' }>;

type Phase =
  | { kind: 'admission' }
  | { kind: 'planning' }
  | { kind: 'importing'; placement: messages.Placement }
  /** `resumes`: connections that were replaced since the last token. */
  | { kind: 'running'; placement: messages.Placement; reconnects: number }
  /** Waits for the budget of retries. */
  | { kind: 'retrying'; reason: string }
  /** The caller is done; a placement that is still on its way has to be given back. */
  | { kind: 'withdrawing' }
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
  /** What holds of all attempts so far. */
  truth: results.ExecutionStatus;
  /** Whether the caller's connection takes more. */
  flow: messages.FlowControl;
};

export type Step = task.Step<State, command.Command>;

export function initial(request: PromptRequest): State {
  const root = keptContext.deriveRoot(request.clientAccount, request.service);
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
    truth: 'not-run',
    flow: 'open',
  };
}

/** Names one attempt, so that a late answer to an earlier one is recognised. */
export function runIdOf(state: State): string {
  return `${state.request.requestId}.${state.attempt}`;
}

export function refuse(state: State, failure: results.Failure, retryAfterMs?: number): Step {
  const { requestId } = state.request;
  const { truth } = state;
  return end(state, [
    {
      kind: 'answer',
      answer: { type: 'response.refused', requestId, failure, truth, retryAfterMs },
    },
    { kind: 'count', name: 'requests.refused', by: 1 },
    {
      kind: 'record-event',
      name: 'requestRefused',
      details: { failure: results.describe(failure), truth },
    },
  ]);
}

export function end(state: State, commands: readonly command.Command[]): Step {
  const phase: Phase =
    state.phase.kind === 'planning' ? { kind: 'withdrawing' } : { kind: 'ended' };
  return {
    state: { ...state, phase },
    commands: [
      ...commands,
      { kind: 'release-admission' },
      { kind: 'unschedule', timer: 'progress' },
      { kind: 'unschedule', timer: 'deadline' },
    ],
  };
}

/** Counts a message that belongs to no step of this request: late, crossed or doubled. */
export function dropLateMessage(state: State, what: string): Step {
  return {
    state,
    commands: [
      { kind: 'count', name: 'answers.dropped', by: 1 },
      { kind: 'record-event', name: 'lateAnswerDropped', details: { message: what } },
    ],
  };
}

/** Lets a run's stream flow as the caller's connection does; progress is expected while it does. */
export function flowCommands(state: State, upstream: string): readonly command.Command[] {
  const { flow, request } = state;
  const delayMs = request.service.progressTimeoutMs;
  return [
    { kind: 'flow', runId: runIdOf(state), upstream, flow },
    flow === 'open'
      ? { kind: 'schedule', timer: 'progress', delayMs }
      : { kind: 'unschedule', timer: 'progress' },
  ];
}

/** The caller has every token. */
export function complete(state: State, upstream: string, finish: messages.Finish): Step {
  const usage = { ...state.usage, completionTokens: state.offset };
  const outcome: messages.PlacementOutcome = {
    kind: 'completed',
    reusedTokens: usage.cachedTokens - state.importedTokens,
    importedTokens: state.importedTokens,
    firstTokenMs: (state.firstTokenAtMs ?? state.startedAtMs) - state.startedAtMs,
  };
  const { requestId } = state.request;
  return end({ ...state, usage }, [
    { kind: 'report', upstream, outcome },
    { kind: 'answer', answer: { type: 'response.ended', requestId, finish, usage } },
    { kind: 'count', name: 'requests.ended', by: 1 },
    { kind: 'record-event', name: 'requestEnded', details: { tokens: state.offset, ...usage } },
  ]);
}
