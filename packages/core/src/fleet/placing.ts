/** One attempt to place a request: the check of quarantined parts, the placement, and the answer to the request. */
import type * as task from '../kernel/task.js';
import type * as gatewayMessages from '../messages/gateway.js';
import * as accountUsage from './account-usage.js';
import type * as decide from './decide.js';
import * as placement from './placement.js';
import * as publishing from './publishing.js';
import * as quarantineSteps from './quarantine-steps.js';
import type * as refusals from './refusals.js';
import type * as fleet from './state.js';

export type Attempt =
  /** The request has its answer: a destination, or that a part of it is quarantined. */
  | { kind: 'answered'; isPlaced: boolean; commands: readonly decide.Command[] }
  /** It has none yet. */
  | { kind: 'none'; refusal: refusals.Refusal; commands: readonly decide.Command[] };

export function attempt(
  state: fleet.State,
  placementRequest: placement.Request,
  replyTo: gatewayMessages.RequestAddress,
  now: task.Instant,
): Attempt {
  const checked = quarantineSteps.check(state, placementRequest, now);
  if (checked.kind === 'refused') {
    const commands = quarantineSteps.refuse(state, placementRequest, replyTo, checked, now);
    return { kind: 'answered', isPlaced: false, commands };
  }
  const decision = placement.place(state, placementRequest, now);
  const recorded: decide.Command = { kind: 'record-placement', placementRequest, decision };
  if (decision.kind === 'none') {
    return { kind: 'none', refusal: decision, commands: [recorded] };
  }
  const { destination } = decision;
  accountUsage.recordPlaced(state, placementRequest, decision, now);
  const { upstream } = destination;
  return {
    kind: 'answered',
    isPlaced: true,
    commands: [
      recorded,
      { kind: 'reply', replyTo, message: { type: 'fleet.placed', destination } },
      ...publishing.schedule(state, destination),
      ...quarantineSteps.onPlaced(state, placementRequest, upstream, checked.trialOf, replyTo),
    ],
  };
}

/** The answer that no upstream takes the request at present, and that the request decides what to do. */
export function notPlaced(
  { reason, freeInMs }: refusals.Refusal,
  replyTo: gatewayMessages.RequestAddress,
): decide.Command {
  return { kind: 'reply', replyTo, message: { type: 'fleet.not-placed', reason, freeInMs } };
}
