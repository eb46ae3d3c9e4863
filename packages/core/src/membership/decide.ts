/** Which other instances there are, from the platform's lagging list and from what they say. */
import type * as task from '../kernel/task.js';
import type * as messages from '../messages/index.js';
import * as results from '../results/index.js';

export type State = {
  ownName: string;
  listed: readonly messages.ListedInstance[];
  /** Monotonic time at which each instance was last heard. */
  heardAtMs: Readonly<Record<string, number>>;
};

export type Command =
  { kind: 'watch-instances' } | { kind: 'publish'; members: readonly messages.Member[] };

type Step = task.Step<State, Command>;

/** An instance that was heard within this time is alive, whatever the list says. */
export const HEARD_WITHIN_MS = 3_000;

export function initial(ownName: string): State {
  return { ownName, listed: [], heardAtMs: {} };
}

export function decide(state: State, message: messages.MembershipMessage, now: task.Instant): Step {
  switch (message.type) {
    case 'task.start':
      return { state, commands: [{ kind: 'watch-instances' }] };
    case 'platform.instances-changed':
      return publish({ ...state, listed: message.instances }, now);
    case 'membership.heard': {
      const heardAtMs = { ...state.heardAtMs, [message.from]: now.monotonicMs };
      return { state: { ...state, heardAtMs }, commands: [] };
    }
    case 'membership.check':
      return publish(state, now);
    case 'peers.digest-received':
    case 'task.leave':
    case 'task.stop':
      return { state, commands: [] };
    default:
      return results.never(message);
  }
}

function publish(state: State, now: task.Instant): Step {
  const members = state.listed
    .filter(({ name }) => name !== state.ownName)
    .map((listed) => ({ ...listed, evidence: evidenceOf(state, listed.name, now) }));
  return { state, commands: [{ kind: 'publish', members }] };
}

function evidenceOf(state: State, name: string, now: task.Instant): messages.Evidence {
  const heardAtMs = state.heardAtMs[name];
  if (heardAtMs === undefined) return 'listed';
  return now.monotonicMs - heardAtMs <= HEARD_WITHIN_MS ? 'heard' : 'silent';
}
