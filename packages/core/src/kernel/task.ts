/**
 * A task is an xstate actor that exclusively owns its sockets, timers and state.
 * Its decision is a pure function; its shell performs the commands that the decision returns.
 */
import type * as xstate from 'xstate';

/** Anything that accepts messages of one union, such as every xstate actor reference. */
export type Address<Message> = { send(message: Message): void };

/** One reading of both clocks of the runtime, taken when a message is handled. */
export type Instant = {
  /** Milliseconds on the monotonic clock, for leases, deadlines and delays. */
  monotonicMs: number;
  /** Milliseconds since 1970, for retention and for display to people. */
  wallMs: number;
};

/** The moment that is this much later, by both clocks. */
export function later({ monotonicMs, wallMs }: Instant, ms: number): Instant {
  return { monotonicMs: monotonicMs + ms, wallMs: wallMs + ms };
}

/** Whether a moment has come by either clock: the monotonic one stands still in a suspension. */
export function hasCome(moment: Instant, now: Instant): boolean {
  return now.monotonicMs >= moment.monotonicMs || now.wallMs >= moment.wallMs;
}

/** The result of a decision: the next state, and the commands for the shell in order. */
export type Step<State, Command> = { state: State; commands: readonly Command[] };

/** A pure function with no I/O, no clock reads and no encoding. */
export type Decision<State, Message, Command> = (
  state: State,
  message: Message,
  now: Instant,
) => Step<State, Command>;

/** The behaviour of one task, as its definition returns it to the kernel. */
export type Behaviour<State, Message, Command> = {
  initial: State;
  decide: Decision<State, Message, Command>;
  /** Performs one command. It may open sockets and send messages, and never returns a value. */
  perform(command: Command): void;
  /** The state as shown to operators, without prompts or secrets. */
  dump(state: State): unknown;
  /** Returns true once the task has nothing left to do; its actor then stops. */
  isDone?(state: State): boolean;
};

/** The actor snapshot that xstate keeps of a task between two messages. */
export type TaskSnapshot<State> = xstate.Snapshot<undefined> & { state: State };

/** Reads both clocks of the runtime. */
export function readClock(): Instant {
  return { monotonicMs: performance.now(), wallMs: Date.now() };
}

/** Turns a behaviour into the logic of an xstate actor. */
export function actorLogic<State, Message extends xstate.EventObject, Command>(
  create: (self: Address<Message>) => Behaviour<State, Message, Command>,
): xstate.ActorLogic<TaskSnapshot<State>, Message> {
  let behaviour: Behaviour<State, Message, Command>;
  return {
    getInitialSnapshot(scope) {
      behaviour = create(scope.self);
      return { status: 'active', output: undefined, error: undefined, state: behaviour.initial };
    },
    transition(snapshot, message, scope) {
      const step = behaviour.decide(snapshot.state, message, readClock());
      step.commands.forEach((command) => scope.defer(() => behaviour.perform(command)));
      const next = { ...snapshot, state: step.state };
      if (!behaviour.isDone?.(step.state)) return next;
      return { ...next, status: 'done', output: undefined, error: undefined };
    },
    getPersistedSnapshot(snapshot) {
      return { ...snapshot, state: undefined } as unknown as TaskSnapshot<State>;
    },
  };
}
