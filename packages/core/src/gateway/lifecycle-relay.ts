/**
 * A request at an instance that reaches no upstream goes through another instance, whose answer is passed on.
 * It counts as possibly run until no instance took it.
 */
import type * as relays from '../messages/relays.js';
import * as results from '../results/index.js';
import * as endings from './lifecycle-endings.js';
import * as lifecycleState from './lifecycle-state.js';
import * as overload from './overload.js';

type State = lifecycleState.State;
type Step = lifecycleState.Step;

/** In the place of an attempt's id: the relayed stream is the only one of its request. */
const RELAY = 'relay';

/** Whether no upstream, and no other instance, can know of the request. */
export function mayLeave({ possibleRuns, isHeadSent }: State): boolean {
  return possibleRuns === 0 && !isHeadSent;
}

/** A request that came from another instance goes back to it, so that requests do not go in circles. */
export function begin(given: State): Step {
  const state = { ...given, lastFailureReason: 'no upstream: cut-off' };
  if (state.routed.request.relayedBy !== undefined) return endings.refuseRelayed(state);
  const next: State = {
    ...state,
    phase: { kind: 'relaying' },
    possibleRuns: state.possibleRuns + 1,
  };
  const deadlineAtMs = lifecycleState.deadlineAtMs(state);
  return { state: next, commands: [{ kind: 'relay', deadlineAtMs }] };
}

export function onReply(state: State, message: relays.RelayReply): Step {
  if (state.phase.kind !== 'relaying') return { state, commands: [] };
  switch (message.type) {
    case 'relay.sent':
      return { state, commands: [{ kind: 'record-relayed', peer: message.peer }] };
    case 'relay.head': {
      const { head } = message;
      return {
        state: { ...state, isHeadSent: true, streamedBy: RELAY },
        commands: [{ kind: 'reply', reply: { type: 'reply.head', head } }],
      };
    }
    case 'relay.events': {
      const { bytes } = message;
      return { state, commands: [{ kind: 'reply', reply: { type: 'reply.events', bytes } }] };
    }
    case 'relay.ended':
      return onEnded({ ...state, phase: { kind: 'placing' } }, message.end);
    default:
      return results.assertNever(message);
  }
}

function onEnded(state: State, end: relays.RelayEnd): Step {
  switch (end.kind) {
    case 'answered': {
      const { head, body } = end;
      return endings.deliver(state, { kind: 'answered', head, body, isSealed: true }, RELAY);
    }
    case 'not-run':
      return refuseUnrun({
        ...state,
        possibleRuns: state.possibleRuns - 1,
        lastFailureReason: end.detail,
      });
    case 'broken':
      return endings.giveUp({ ...state, lastFailureReason: end.detail }, 'answerLost');
    default:
      return results.assertNever(end);
  }
}

function refuseUnrun(state: State): Step {
  const { requestId } = state.routed.request;
  const comeBackMs = overload.retryAfterMs({ requestId, freeInMs: undefined });
  return endings.giveUp(state, 'noUpstream', comeBackMs);
}
