/** The state of one prompt's life, and the small steps that end it. */
import * as keptContext from '../kept-context/index.js';
import type * as task from '../kernel/task.js';
import type * as messages from '../messages/index.js';
import * as results from '../results/index.js';
import type * as command from './command.js';

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
  /** What may be told of the attempts so far. */
  runTruth: results.RunTruth;
};

export type Step = task.Step<State, command.Command>;

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
    runTruth: 'not-run',
  };
}

/** Names one attempt, so that a late answer to an earlier one is recognised. */
export function runId(state: State): string {
  return `${state.request.requestId}.${state.attempt}`;
}

export function refuse(
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

export function end(state: State, commands: readonly command.Command[]): Step {
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
export function drop(state: State, what: string): Step {
  return {
    state,
    commands: [
      { kind: 'count', name: 'answers.dropped', by: 1 },
      { kind: 'note', name: 'lateAnswerDropped', details: { message: what } },
    ],
  };
}
