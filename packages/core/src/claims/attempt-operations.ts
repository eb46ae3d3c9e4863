/** Submits operations on pages, and applies their results to the attempts that they belong to. */
import type * as task from '../kernel/task.js';
import type * as messages from '../messages/index.js';
import * as results from '../results/index.js';
import * as attempts from './attempts.js';
import * as batches from './batches.js';
import * as pageStates from './page-state.js';
import type * as command from './command.js';
import type * as peerMessages from './peer-messages.js';
import * as keys from './keys.js';
import type * as page from './page.js';
import * as states from './state.js';

type Command = command.Command;
type State = states.State;

/** Interval between two probes of a platform that does not respond. */
export const PROBE_MS = 500;
export const PROBE_KEY = `${keys.PAGE_PREFIX}probe`;

export function timerOf({ kind, attemptId }: page.Operation): messages.ClaimsTimer {
  return { kind: 'attempt', operation: kind, attemptId };
}

export function schedule(timer: messages.ClaimsTimer, delayMs: number): Command {
  return { kind: 'schedule', timer, delayMs };
}

/** Submits an operation to the coordinator of its page. */
export function submit(
  state: State,
  chosen: string,
  place: keys.Location,
  operation: page.Operation,
  now: task.Instant,
): readonly Command[] {
  if (chosen === state.ownName) return enqueueLocally(state, place, operation, now);
  return [{ kind: 'notify', to: chosen, digest: { kind: 'ask', asked: { place, operation } } }];
}

export function enqueueLocally(
  state: State,
  place: keys.Location,
  operation: page.Operation,
  now: task.Instant,
  isFence = false,
): readonly Command[] {
  const requester = { kind: 'own' } as const;
  const arrivedAtMs = now.monotonicMs;
  const item = { place, overflowDepth: 0, operation, requester, arrivedAtMs, isFence };
  return dispatchCompletions(state, batches.enqueue(states.batchContext(state, now), item), now);
}

/** Applies the results of own operations, and sends those of peers' operations back to them. */
export function dispatchCompletions(
  state: State,
  progress: pageStates.BatchResult,
  now: task.Instant,
): readonly Command[] {
  const repliesByPeer = new Map<string, peerMessages.Reply[]>();
  const own = progress.completions.flatMap(({ item, result }) => {
    const { operation, requester } = item;
    if (requester.kind === 'own') {
      return onResult(state, operation.kind, operation.attemptId, result, now);
    }
    const { attemptId, kind } = operation;
    const reply = { operation: kind, attemptId, place: item.place, result };
    repliesByPeer.set(requester.name, [...(repliesByPeer.get(requester.name) ?? []), reply]);
    return [];
  });
  const notifications = [...repliesByPeer].map<Command>(([to, each]) => ({
    kind: 'notify',
    to,
    digest: { kind: 'tell', told: each },
  }));
  const suspension = progress.isPlatformUnavailable ? suspend(state, now) : [];
  return [...progress.commands, ...own, ...notifications, ...suspension];
}

export function onResult(
  state: State,
  operation: page.Operation['kind'],
  attemptId: string,
  result: peerMessages.Result,
  now: task.Instant,
): readonly Command[] {
  switch (operation) {
    case 'claim':
      return onClaimResult(state, attemptId, result, now);
    case 'record':
      return onRecordResult(state, attemptId, result, now);
    default:
      return results.assertNever(operation);
  }
}

function onClaimResult(
  state: State,
  attemptId: string,
  result: peerMessages.Result,
  now: task.Instant,
): readonly Command[] {
  const attempt = state.attempts.get(attemptId);
  if (attempt?.phase.kind !== 'claiming') return [];
  const { phase } = attempt;
  if (result.kind === 'unavailable') return refuseClaim(state, attempt, phase, now);
  if (result.kind === 'granted') Object.assign(attempt, { phase: { kind: 'held' } });
  else state.attempts.delete(attemptId);
  const answer = attempts.toClaimAnswer(phase.claim, phase.startedAtMs, result);
  return [
    { kind: 'unschedule', timer: timerOf(phase.operation) },
    attempts.answerCommand(phase, answer),
  ];
}

/** Refuses a claim, and releases its key in case a write of the claim took or takes effect. */
export function refuseClaim(
  state: State,
  attempt: attempts.Attempt,
  phase: attempts.Claiming,
  now: task.Instant,
): readonly Command[] {
  return [
    { kind: 'unschedule', timer: timerOf(phase.operation) },
    attempts.answerCommand(phase, attempts.unavailable('the claim was not recorded in time')),
    ...releaseKey(state, attempt.attemptId, attempt.place, now),
  ];
}

/**
 * Removes the claim of a request that was never sent from its page, even if the claim arrives late.
 */
export function releaseKey(
  state: State,
  attemptId: string,
  place: keys.Location,
  now: task.Instant,
): readonly Command[] {
  state.attempts.set(attemptId, { attemptId, place, phase: { kind: 'releasing' } });
  const operation = { kind: 'record', attemptId, outcome: { kind: 'not-run' } } as const;
  return [
    { kind: 'record-event', name: 'claimReleased', detail: attemptId },
    ...enqueueLocally(state, place, operation, now, true),
  ];
}

function onRecordResult(
  state: State,
  attemptId: string,
  result: peerMessages.Result,
  now: task.Instant,
): readonly Command[] {
  const attempt = state.attempts.get(attemptId);
  if (!attempt) return [];
  const { phase } = attempt;
  if (result.kind === 'unavailable' && phase.kind === 'recording') {
    return enqueueLocally(state, attempt.place, phase.operation, now);
  }
  state.attempts.delete(attemptId);
  if (phase.kind !== 'recording') return [];
  const timer = timerOf(phase.operation);
  const confirmed = phase.isConfirmed
    ? []
    : [attempts.confirmCommand(phase, result.kind === 'noted')];
  return [{ kind: 'unschedule', timer }, ...confirmed];
}

/** Refuses claims that wait for a platform that does not respond. Outcomes keep waiting. */
function suspend(state: State, now: task.Instant): readonly Command[] {
  if (state.batches.isSuspended) return [];
  const returned = batches.suspend(state.batches);
  const refused = [...state.attempts.values()].flatMap((attempt) =>
    attempt.phase.kind === 'claiming' && !attempt.phase.isForwarded
      ? refuseClaim(state, attempt, attempt.phase, now)
      : [],
  );
  return [
    {
      kind: 'record-event',
      name: 'claimsSuspended',
      detail: 'the platform does not respond; claims are refused until it does',
    },
    schedule({ kind: 'probe' }, PROBE_MS),
    ...refused,
    ...dispatchCompletions(
      state,
      { commands: [], completions: returned, isPlatformUnavailable: false },
      now,
    ),
  ];
}
