/** State of one prompt request, and the steps that end it. */
import * as keptContext from '../kept-context/index.js';
import type * as task from '../kernel/task.js';
import type * as messages from '../messages/index.js';
import * as results from '../results/index.js';
import type * as command from './command.js';

/** Attempts for one prompt, including the first. */
export const MAX_ATTEMPTS = 4;

type PromptRequest = Extract<messages.CallerRequest, { kind: 'prompt' }>;

type Phase =
  | { kind: 'admission' }
  | { kind: 'planning' }
  | { kind: 'importing'; placement: messages.Placement }
  /** `reconnects`: connections replaced since the last token. */
  | { kind: 'running'; placement: messages.Placement; reconnects: number }
  /** Waits for the retry budget. */
  | { kind: 'retrying'; reason: string }
  /** The request has ended, but a pending placement must still be reported as cancelled. */
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
  /** Offset of the next token that the caller needs. */
  offset: number;
  answered: string;
  usage: messages.Usage;
  importedTokens: number;
  /** Execution status over all attempts so far. */
  truth: results.ExecutionStatus;
  /** Whether the caller's connection accepts more data. */
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

/** Returns the id of the current attempt, by which late messages of earlier ones are recognised. */
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

/** Drops and counts a message that the request does not expect: late, crossed or duplicate. */
export function dropLateMessage(state: State, messageType: string): Step {
  return {
    state,
    commands: [
      { kind: 'count', name: 'answers.dropped', by: 1 },
      { kind: 'record-event', name: 'lateAnswerDropped', details: { message: messageType } },
    ],
  };
}

/** Applies the caller's flow control to the run's stream; the progress timer runs while open. */
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

/** Ends a request whose caller has every token. */
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
