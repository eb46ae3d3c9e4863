/** Admission: how much an instance holds at once. */
import type * as schema from '../configuration/schema.js';
import type * as task from '../kernel/task.js';
import type * as messages from '../messages/index.js';
import * as results from '../results/index.js';

export type State = {
  configuration: schema.Configuration | undefined;
  /** Ids of the requests that hold a place. Updated in place by the task that owns it. */
  granted: Set<string>;
};

export type Command = {
  kind: 'reply';
  replyTo: task.Address<messages.AdmissionAnswered>;
  message: messages.AdmissionAnswered;
};

type Step = task.Step<State, Command>;

/** What a caller is told to wait when the instance is full. */
const RETRY_AFTER_MS = 1_000;

export function initial(): State {
  return { configuration: undefined, granted: new Set() };
}

export function decide(state: State, message: messages.AdmissionMessage): Step {
  switch (message.type) {
    case 'configuration.adopted':
      return { state: { ...state, configuration: message.configuration }, commands: [] };
    case 'admission.ask':
      return onAsk(state, message);
    case 'admission.release':
      state.granted.delete(message.requestId);
      return { state, commands: [] };
    case 'admission.capacity':
    case 'admission.tick':
    case 'peers.digest-received':
    case 'task.start':
    case 'task.leave':
    case 'task.stop':
      return { state, commands: [] };
    default:
      return results.never(message);
  }
}

function onAsk(
  state: State,
  message: Extract<messages.AdmissionMessage, { type: 'admission.ask' }>,
): Step {
  const { requestId, replyTo } = message;
  const most = state.configuration?.limits.maxRequests ?? 0;
  const isFull = state.granted.size >= most;
  if (!isFull) state.granted.add(requestId);
  const answer: messages.AdmissionAnswer = isFull
    ? {
        kind: 'refused',
        failure: results.failure('overloaded', `the instance holds ${most} requests`),
        retryAfterMs: RETRY_AFTER_MS,
      }
    : { kind: 'granted' };
  const reply: messages.AdmissionAnswered = { type: 'admission.answered', requestId, answer };
  return { state, commands: [{ kind: 'reply', replyTo, message: reply }] };
}
