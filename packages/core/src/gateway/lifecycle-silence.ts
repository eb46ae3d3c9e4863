/** How long a request waits in silence before its upstream is doubted. */
import * as results from '../results/index.js';
import * as answers from './answers.js';
import type * as lifecycle from './lifecycle-state.js';

type State = lifecycle.State;

/** A whole answer that takes longer than this many targets is asked for elsewhere. */
const WHOLE_SILENCE_TARGETS = 2.5;
/** A first event that takes longer than this many targets raises doubts about the upstream. */
const FIRST_EVENT_TARGETS = 1.25;
/** Later events: this many gaps of the route. */
const EVENT_SILENCE_GAPS = 3;
/** Pause before a doubt is looked at again while the upstream shows signs of life. */
const DOUBT_AGAIN_MS = 300;

/**
 * Watches for silence where another upstream could take over. A request that has to stay tells at
 * least whether its upstream lives, so that no others are sent there.
 */
export function watch(state: State, delayMs = silenceMs(state)): readonly lifecycle.Command[] {
  if (!mayMove(state) && state.isHeadSent) return [];
  return [{ kind: 'schedule', timer: 'silence', delayMs }];
}

export function mayMove({ given: { route }, runs }: State): boolean {
  return answers.mayRepeat(route.repetition) && runs < route.maxRuns;
}

function silenceMs({ given: { route }, isHeadSent }: State): number {
  switch (route.delivery) {
    case 'whole':
      return WHOLE_SILENCE_TARGETS * route.targetMs;
    case 'stream':
      return isHeadSent
        ? Math.max(EVENT_SILENCE_GAPS * route.eventGapMs, route.targetMs)
        : FIRST_EVENT_TARGETS * route.targetMs;
    default:
      return results.never(route.delivery);
  }
}

/** The upstream lives, or the budget is used up: the attempt goes on under watch. */
export function watchAgain(state: State): readonly lifecycle.Command[] {
  return watch(state, DOUBT_AGAIN_MS);
}
