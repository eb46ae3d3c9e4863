/**
 * Keeps a stream at the software version that began it. The version is that of the first placement, also
 * if its upstream turns the request away: what was told about the stream then stays true.
 */
import type * as task from '../kernel/task.js';
import type * as origin from '../stream-origins/origin.js';
import * as results from '../results/index.js';
import * as endings from './lifecycle-endings.js';
import * as lifecycleState from './lifecycle-state.js';
import * as search from './lifecycle-search.js';
import * as timers from './lifecycle-timers.js';

type State = lifecycleState.State;
type Step = lifecycleState.Step;

export function begin(state: State, now: task.Instant): Step {
  const deadline = timers.armDeadline(state, now);
  if (!lifecycleState.isResumed(state)) return { state, commands: [deadline, search.place(state)] };
  const stream = lifecycleState.streamOf(state);
  return {
    state: { ...state, phase: { kind: 'identifying' } },
    commands: [deadline, { kind: 'find-origin', stream }],
  };
}

export function onFound(state: State, found: origin.Origin): Step {
  if (state.phase.kind !== 'identifying') return { state, commands: [] };
  switch (found.kind) {
    case 'known': {
      const { version: softwareVersion } = found;
      const next: State = { ...state, phase: { kind: 'placing' }, softwareVersion };
      return { state: next, commands: [search.place(next)] };
    }
    case 'unknown':
      return onUnknown(
        { ...state, lastFailureReason: `origin of the stream: ${found.gap}` },
        found,
      );
    default:
      return results.assertNever(found);
  }
}

function onUnknown(state: State, { gap }: Extract<origin.Origin, { kind: 'unknown' }>): Step {
  switch (gap) {
    case 'not-recorded':
    case 'several-versions':
      return endings.giveUpStream(state);
    case 'store-unavailable':
    case 'list-outdated':
      return endings.giveUp(state, 'noUpstream');
    default:
      return results.assertNever(gap);
  }
}

export function withVersion(state: State, placedAt: string): State {
  if (state.routed.route.retryPolicy !== 'resumable') return state;
  return { ...state, softwareVersion: state.softwareVersion ?? placedAt };
}

/** Told before the request is sent, so that it is known before the first event is passed on. */
export function report(before: State, placed: State): readonly lifecycleState.Command[] {
  const { softwareVersion: version } = placed;
  if (version === undefined || before.sentAttempts > 0) return [];
  const { request, route } = placed.routed;
  const endsAtMs = lifecycleState.ownDeadlineAtMs(request, route);
  return [{ kind: 'report-stream', stream: lifecycleState.streamOf(placed), version, endsAtMs }];
}
