/**
 * Plug-ins are plain objects with a name and hooks. Importing a plug-in's package registers it;
 * the kernel calls the hooks of all registered plug-ins by name, `scope:moment`.
 */
import type * as xstate from 'xstate';

import type * as events from '../events/event.js';
import type * as mailboxes from '../messages/mailboxes.js';
import type * as settings from '../settings/schema.js';
import type * as task from './task.js';

/**
 * The kernel's services for one task. The context outlives the task and holds none of its state.
 */
export type TaskContext<Message, Settings = settings.Settings> = {
  /** The address at which other tasks reach this one. */
  self: task.Address<Message>;
  settings: Settings;
  /**
   * Random id, new at each start of the process; the prefix of every id that the process creates.
   */
  incarnation: string;
  /** Sends a message to a task by name. A message to a task that does not exist is dropped. */
  send<Name extends mailboxes.TaskName>(name: Name, message: mailboxes.Mailboxes[Name]): void;
  /** Starts a short-lived task, such as the task of one request. */
  spawn<State, Incoming extends xstate.EventObject, Command>(
    created: TaskDefinition<State, Incoming, Command, Settings>,
  ): task.Address<Incoming>;
  /** Records a numbered event in the journal. */
  record(event: events.Event): void;
  /**
   * Delivers a message to this task after a delay. A second call with the same id replaces the
   * first.
   */
  schedule(id: string, delayMs: number, message: Message): void;
  unschedule(id: string): void;
  /** Tells the kernel that this task has finished its open work; see `DrainingTask`. */
  drained(): void;
  /** Ends the instance, since this task cannot do its work. A supervisor starts the process again. */
  fail(reason: string): void;
  /** The states of all tasks, for operators. */
  dump(): Record<string, unknown>;
};

/** A named task and the function that creates its behaviour. */
export type TaskDefinition<
  State,
  Message extends xstate.EventObject,
  Command,
  Settings = settings.Settings,
> = {
  name: string;
  create(context: TaskContext<Message, Settings>): task.Behaviour<State, Message, Command>;
};

/** The operations that hooks may use while an instance is set up. */
export type Setup<Settings = settings.Settings> = {
  settings: Settings;
  addTask<State, Message extends xstate.EventObject, Command>(
    definition: TaskDefinition<State, Message, Command, Settings>,
  ): void;
};

/** All hooks that the kernel calls. */
export type Hooks<Settings = settings.Settings> = {
  /** Called once, before any task has started: adds the plug-in's tasks. */
  'instance:setup'(setup: Setup<Settings>): void;
};

/**
 * A plug-in may be specific to one type of settings; a binary starts only those that match its own.
 */
export type Plugin<Settings = settings.Settings> = {
  name: string;
  hooks: Partial<Hooks<Settings>>;
};
