/**
 * The life of one request for a plain service: admission, claim if it has a key, plan, call,
 * record. A request that is not safe is sent once and never again.
 */
import * as crypto from 'node:crypto';

import type * as task from '../kernel/task.js';
import type * as messages from '../messages/index.js';
import * as results from '../results/index.js';
import type * as command from './command.js';
import * as truth from './truth.js';

/** Attempts for a request that may be repeated, the first included. */
export const MAX_ATTEMPTS = 3;

type PlainRequest = Extract<messages.Request, { kind: 'plain' }>;

type Phase =
  | { kind: 'admission' }
  | { kind: 'claiming' }
  | { kind: 'planning' }
  | { kind: 'calling'; upstream: string }
  | { kind: 'recording'; answer: messages.Answer }
  | { kind: 'ended' };

export type State = {
  request: PlainRequest;
  phase: Phase;
  claim: messages.Claim | undefined;
  /** Monotonic time after which a claimed request may not leave any more. */
  sendBeforeMs: number;
  attempt: number;
  excluded: readonly string[];
  startedAtMs: number;
};

type Step = task.Step<State, command.Command>;

export function initial(request: PlainRequest): State {
  return {
    request,
    phase: { kind: 'admission' },
    claim: undefined,
    sendBeforeMs: Infinity,
    attempt: 0,
    excluded: [],
    startedAtMs: 0,
  };
}

export function decide(state: State, message: messages.ExchangeMessage, now: task.Instant): Step {
  if (state.phase.kind === 'ended') return { state, commands: [] };
  switch (message.type) {
    case 'task.start':
      return {
        state: { ...state, startedAtMs: now.monotonicMs },
        commands: [{ kind: 'ask-admission' }],
      };
    case 'admission.answered':
      return onAdmission(state, message.answer);
    case 'claim.answered':
      return onClaim(state, message.answer);
    case 'plan.made':
      return onPlan(state, message.plan, now);
    case 'call.answered':
      return onAnswered(state, message.answer, now);
    case 'call.failed':
      return onFailed(state, message.reach, message.failure);
    case 'claim.recorded':
      return onRecorded(state);
    case 'exchange.cancelled':
    case 'exchange.timeout':
    case 'exchange.flow':
    case 'task.leave':
    case 'task.stop':
      return { state, commands: [] };
    case 'run.started':
    case 'run.token':
    case 'run.ended':
    case 'run.failed':
    case 'import.finished':
    case 'import.failed':
      return { state, commands: [{ kind: 'count', name: 'answers.dropped', by: 1 }] };
    default:
      return results.never(message);
  }
}

/** A safe method may be repeated; nothing else is sent twice. */
function isSafe(request: PlainRequest): boolean {
  return request.service.safeMethods.includes(request.method);
}

function digestOf(request: PlainRequest): string {
  return crypto
    .createHash('sha256')
    .update(`${request.service.name}\n${request.method}\n${request.path}\n`)
    .update(request.body)
    .digest('hex');
}

function onAdmission(state: State, answer: messages.AdmissionAnswer): Step {
  switch (answer.kind) {
    case 'granted':
      return isSafe(state.request) || state.request.idempotencyKey === undefined
        ? plan(state)
        : claim(state, state.request.idempotencyKey);
    case 'refused':
      return refuse(state, answer.failure, 'not-run', answer.retryAfterMs);
    default:
      return results.never(answer);
  }
}

function claim(state: State, key: string): Step {
  return {
    state: { ...state, phase: { kind: 'claiming' } },
    commands: [{ kind: 'claim', key, digest: digestOf(state.request) }],
  };
}

function onClaim(state: State, answer: messages.ClaimAnswer): Step {
  if (state.phase.kind !== 'claiming') return { state, commands: [] };
  switch (answer.kind) {
    case 'granted':
      return plan({ ...state, claim: answer.claim, sendBeforeMs: answer.sendBeforeMs });
    case 'recorded':
      return end(state, [
        {
          kind: 'answer',
          answer: {
            type: 'answer.whole',
            requestId: state.request.requestId,
            answer: answer.answer,
            isReplay: true,
          },
        },
      ]);
    case 'in-progress':
      return refuse(
        state,
        results.failure('inProgress', 'another attempt holds the key'),
        'unknown',
      );
    case 'outcome-unknown':
      return refuse(
        state,
        results.failure('outcomeUnknown', 'an earlier attempt broke off'),
        'unknown',
      );
    case 'key-reused':
      return refuse(state, results.failure('keyReused', 'the request differs'), 'not-run');
    case 'key-expired':
      return refuse(state, results.failure('keyExpired', 'the key is too old'), 'not-run');
    case 'unavailable':
      return refuse(state, answer.failure, 'not-run', CLAIM_RETRY_AFTER_MS);
    default:
      return results.never(answer);
  }
}

const CLAIM_RETRY_AFTER_MS = 2_000;

function plan(state: State): Step {
  return {
    state: { ...state, phase: { kind: 'planning' }, attempt: state.attempt + 1 },
    commands: [{ kind: 'plan-call', excluded: state.excluded }],
  };
}

function onPlan(state: State, made: messages.Plan, now: task.Instant): Step {
  if (state.phase.kind !== 'planning') return { state, commands: [] };
  switch (made.kind) {
    case 'placed':
      return call(state, made.placement.upstream, now);
    case 'refused':
      return settle(
        state,
        { kind: 'not-run' },
        refusal(state, made.failure, 'not-run', made.retryAfterMs),
      );
    default:
      return results.never(made);
  }
}

/** The last moment to notice that this instance was paused past its claim. */
function call(state: State, upstream: string, now: task.Instant): Step {
  if (now.monotonicMs >= state.sendBeforeMs) {
    const failure = results.failure('claimUnavailable', 'the claim lapsed before sending');
    const told = settle(state, { kind: 'not-run' }, refusal(state, failure, 'not-run'));
    const report: command.Command = { kind: 'report', upstream, outcome: { kind: 'cancelled' } };
    return { state: told.state, commands: [report, ...told.commands] };
  }
  const { request } = state;
  const sent: messages.PlainCall = {
    requestId: request.requestId,
    upstream,
    method: request.method,
    path: request.path,
    headers: request.headers,
    body: request.body,
    timeoutMs: request.service.timeoutMs,
  };
  return {
    state: { ...state, phase: { kind: 'calling', upstream } },
    commands: [{ kind: 'call', call: sent }],
  };
}

function onAnswered(state: State, answer: messages.PlainAnswer, now: task.Instant): Step {
  if (state.phase.kind !== 'calling') return { state, commands: [] };
  const outcome: messages.Outcome = {
    kind: 'completed',
    reusedTokens: 0,
    importedTokens: 0,
    firstTokenMs: now.monotonicMs - state.startedAtMs,
  };
  const report: command.Command = { kind: 'report', upstream: state.phase.upstream, outcome };
  const whole: messages.Answer = {
    type: 'answer.whole',
    requestId: state.request.requestId,
    answer,
    isReplay: false,
  };
  const settled = settle(state, { kind: 'answered', answer }, whole);
  return { state: settled.state, commands: [report, ...settled.commands] };
}

function onFailed(state: State, reach: messages.Reach, failure: results.Failure): Step {
  if (state.phase.kind !== 'calling') return { state, commands: [] };
  const { upstream } = state.phase;
  const report: command.Command = { kind: 'report', upstream, outcome: { kind: 'failed', reach } };
  const runTruth = truth.truthOf(reach);
  const mayRepeat = isSafe(state.request) || runTruth === 'not-run';
  if (mayRepeat && state.attempt < MAX_ATTEMPTS) {
    const next = plan({ ...state, excluded: [...state.excluded, upstream] });
    return { state: next.state, commands: [report, ...next.commands] };
  }
  const told =
    runTruth === 'not-run' || isSafe(state.request)
      ? failure
      : results.failure('outcomeUnknown', results.describe(failure));
  const outcome: messages.RecordedOutcome =
    runTruth === 'not-run' ? { kind: 'not-run' } : { kind: 'unknown' };
  const settled = settle(state, outcome, refusal(state, told, runTruth));
  return { state: settled.state, commands: [report, ...settled.commands] };
}

/** Records the outcome of a claimed request before the caller is told. */
function settle(state: State, outcome: messages.RecordedOutcome, answer: messages.Answer): Step {
  if (!state.claim) return end(state, [{ kind: 'answer', answer }]);
  return {
    state: { ...state, phase: { kind: 'recording', answer } },
    commands: [{ kind: 'record', claim: state.claim, outcome }],
  };
}

/** The caller gets the answer also when it could not be recorded: it is whole and true. */
function onRecorded(state: State): Step {
  if (state.phase.kind !== 'recording') return { state, commands: [] };
  return end(state, [{ kind: 'answer', answer: state.phase.answer }]);
}

function refusal(
  state: State,
  failure: results.Failure,
  runTruth: results.RunTruth,
  retryAfterMs?: number,
): messages.Answer {
  const { requestId } = state.request;
  return { type: 'answer.refused', requestId, failure, truth: runTruth, retryAfterMs };
}

function refuse(
  state: State,
  failure: results.Failure,
  runTruth: results.RunTruth,
  retryAfterMs?: number,
): Step {
  return end(state, [
    { kind: 'answer', answer: refusal(state, failure, runTruth, retryAfterMs) },
    { kind: 'count', name: 'requests.refused', by: 1 },
  ]);
}

function end(state: State, commands: readonly command.Command[]): Step {
  return {
    state: { ...state, phase: { kind: 'ended' } },
    commands: [...commands, { kind: 'release-admission' }],
  };
}
