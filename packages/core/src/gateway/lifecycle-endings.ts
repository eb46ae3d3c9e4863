/**
 * Steps that end a request: deliver a response, refuse with the true execution status, or abort the
 * connection so that a partial response cannot be taken for a complete one.
 */
import * as results from '../results/index.js';
import * as attemptResult from './attempt-result.js';
import * as lifecycleState from './lifecycle-state.js';

type State = lifecycleState.State;
type Step = lifecycleState.Step;

/** Retry delay for a caller whose request did not run: long enough for placements to change. */
const RETRY_AFTER_MS = 250;

export function onCallerDisconnected(state: State): Step {
  return end(state, { result: 'left', status: 0 }, []);
}

/** Ends the request when the route's or the caller's timeout has passed, or the grace of a planned stop. */
export function onDeadline(given: State): Step {
  const isCutShort = lifecycleState.isCutShort(given);
  const state = isCutShort ? { ...given, lastFailureReason: 'the grace ends' } : given;
  if (state.isHeadSent) return abort(state);
  if (state.failure) return deliver(state, state.failure);
  if (state.possibleRuns > 0) return refuse(state, 'outOfTime', undefined);
  return refuse(state, isCutShort ? 'leaving' : 'notStartedInTime', RETRY_AFTER_MS);
}

/**
 * Ends the request without another attempt. `code` applies only if the request certainly did not
 * run.
 */
export function giveUp(
  state: State,
  code: 'noUpstream' | 'retriesExhausted' | 'answerLost',
  retryAfterMs = RETRY_AFTER_MS,
): Step {
  if (state.isHeadSent) return abort(state);
  if (state.failure) return deliver(state, state.failure);
  if (state.possibleRuns > 0) return refuse(state, 'answerLost', undefined);
  return refuse(state, code === 'answerLost' ? 'noUpstream' : code, retryAfterMs);
}

/** Ends a stream that no upstream can go on with; coming back would not help its caller. */
export function giveUpStream(state: State): Step {
  if (state.isHeadSent) return abort(state);
  if (state.possibleRuns > 0) return refuse(state, 'answerLost', undefined);
  return refuse(state, 'streamNotResumable', undefined);
}

/** Ends a request with a part that crashes upstreams. An answer of an upstream goes before the refusal. */
export function quarantine(state: State, evidence: string): Step {
  const runs = state.possibleRuns > 0 ? 'the request may have run' : 'the request was not run';
  const next = { ...state, lastFailureReason: `${evidence}; ${runs}` };
  if (state.isHeadSent) return abort(next);
  if (state.failure) return deliver(next, state.failure);
  return refuse(next, 'promptQuarantined', undefined);
}

/** Refuses a request that another instance sent here, which is to send it to a further one. */
export function refuseRelayed(state: State): Step {
  return refuse(state, 'instanceCutOff', undefined);
}

function refuse(
  state: State,
  code:
    | 'outOfTime'
    | 'notStartedInTime'
    | 'leaving'
    | 'noUpstream'
    | 'retriesExhausted'
    | 'answerLost'
    | 'promptQuarantined'
    | 'streamNotResumable'
    | 'instanceCutOff',
  retryAfterMs: number | undefined,
): Step {
  const { status } = results.resultCodes[code];
  const detail = results.describe(results.failure(code, state.lastFailureReason));
  return end(state, { result: code, status }, [
    { kind: 'reply', reply: { type: 'reply.refuse', status, detail, retryAfterMs } },
  ]);
}

function abort(state: State): Step {
  return end(state, { result: 'cut', status: 0 }, [
    { kind: 'reply', reply: { type: 'reply.abort' } },
  ]);
}

/**
 * Delivers an upstream's response. If the head of a stream was already sent, only the end of the
 * stream can follow it, from an attempt that went on with it; anything else aborts the stream.
 */
export function deliver(state: State, result: attemptResult.Result, attempt?: string): Step {
  if (result.kind !== 'answered') return abort(state);
  const { head, body } = result;
  if (!state.isHeadSent) {
    return end(state, { result: 'answered', status: head.status }, [
      { kind: 'reply', reply: { type: 'reply.complete', head, body } },
    ]);
  }
  if (head.status >= 300 || state.streamedBy !== attempt) return abort(state);
  return end(state, { result: 'answered', status: head.status }, [
    { kind: 'reply', reply: { type: 'reply.end' } },
  ]);
}

/** Ends the request and aborts an attempt that is still in flight. */
function end(
  state: State,
  outcome: Omit<lifecycleState.RequestOutcome, 'reason'>,
  replies: readonly lifecycleState.Command[],
): Step {
  const { phase } = state;
  const attempt =
    phase.kind === 'attempting' || phase.kind === 'asking' ? phase.attempt : undefined;
  const aborted: readonly lifecycleState.Command[] = attempt
    ? [
        { kind: 'abort', attempt: attempt.id },
        { kind: 'report', attempt, outcome: 'cancelled' },
      ]
    : [];
  const withdrawn: readonly lifecycleState.Command[] =
    phase.kind === 'queued' ? [{ kind: 'withdraw-placement' }] : [];
  const recalled: readonly lifecycleState.Command[] =
    phase.kind === 'relaying' ? [{ kind: 'abort-relay' }] : [];
  return {
    state: { ...state, phase: { kind: 'ended' } },
    commands: [
      ...replies,
      ...aborted,
      ...withdrawn,
      ...recalled,
      { kind: 'record-request-end', outcome: { ...outcome, reason: state.lastFailureReason } },
    ],
  };
}

/** Maps an attempt's result to the outcome that is reported to the fleet. */
export function outcomeOf(result: attemptResult.Result): lifecycleState.AttemptOutcome {
  switch (result.kind) {
    case 'unsent':
      return outcomeOfUnsent(result.reason);
    case 'rejected':
      return 'rejected';
    case 'broken':
      return 'broken';
    case 'answered':
      return result.head.status >= 500 ? 'failed' : 'answered';
    default:
      return results.assertNever(result);
  }
}

/** An upstream is not to blame for a request that came to be sent too late. */
function outcomeOfUnsent(reason: attemptResult.UnsentReason): lifecycleState.AttemptOutcome {
  switch (reason) {
    case 'unreachable':
    case 'no-connection':
      return reason;
    case 'out-of-time':
    case 'weights-expired':
      return 'cancelled';
    default:
      return results.assertNever(reason);
  }
}

export function describeResult(result: attemptResult.Result): string {
  switch (result.kind) {
    case 'unsent':
      return `not sent: ${result.reason}: ${result.detail}`;
    case 'rejected':
      return `rejected with ${result.status}`;
    case 'broken':
      return `${result.reason}: ${result.detail}`;
    case 'answered':
      return `answered ${result.head.status}`;
    default:
      return results.assertNever(result);
  }
}

/** Records a journal entry for each attempt whose response is not delivered. */
export function logCommands(
  attempt: lifecycleState.Attempt,
  result: attemptResult.Result,
): readonly lifecycleState.Command[] {
  if (attemptResult.classify(result).kind === 'deliver') return [];
  const { upstream } = attempt.destination;
  return [{ kind: 'record-failed-attempt', upstream, reason: describeResult(result) }];
}
