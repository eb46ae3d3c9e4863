/**
 * Plug-ins are plain objects with a name and hooks. Importing a plug-in's package registers it;
 * the kernel calls the hooks of all registered plug-ins by name, `scope:moment`.
 */
import type * as xstate from 'xstate';

import type * as events from '../events/event.js';
import type * as mailboxes from '../messages/mailboxes.js';
import type * as settings from '../settings/schema.js';
import type * as task from './task.js';

/** What the kernel lends a task. It outlives the task and holds none of the task's state. */
export type TaskContext<Message, Given = settings.Settings> = {
  /** Where other tasks reach this one. */
  self: task.Address<Message>;
  settings: Given;
  /** Random and new at each start of the process; the prefix of every id that it makes. */
  incarnation: string;
  /** Sends a message to a task by name; a message to a task that is not there is dropped. */
  send<Name extends mailboxes.TaskName>(name: Name, message: mailboxes.Mailboxes[Name]): void;
  /** Starts a short-lived task, such as the life of one request. */
  spawn<State, Incoming extends xstate.EventObject, Command>(
    created: TaskDefinition<State, Incoming, Command, Given>,
  ): task.Address<Incoming>;
  /** Leaves a numbered event in the journal. */
  record(event: events.Event): void;
  /** Delivers a message to this task later. A second call with the same id replaces the first. */
  schedule(id: string, delayMs: number, message: Message): void;
  unschedule(id: string): void;
  /** Tells the kernel that this task has finished what it held; see `Leaver`. */
  drained(): void;
  /** The states of all tasks, for operators. */
  dump(): Record<string, unknown>;
};

/** A named task and how it is created. */
export type TaskDefinition<
  State,
  Message extends xstate.EventObject,
  Command,
  Given = settings.Settings,
> = {
  name: string;
  create(surroundings: TaskContext<Message, Given>): task.Behaviour<State, Message, Command>;
};

/** What a plug-in's hooks may do while an instance is set up. */
export type Setup<Given = settings.Settings> = {
  settings: Given;
  addTask<State, Message extends xstate.EventObject, Command>(
    definition: TaskDefinition<State, Message, Command, Given>,
  ): void;
};

/** All hooks, typed in one place. */
export type Hooks<Given = settings.Settings> = {
  /** Called once, before any task has started: adds the plug-in's tasks. */
  'instance:setup'(setup: Setup<Given>): void;
};

/** A plug-in may be written for one kind of settings; the binary starts those that fit its own. */
export type Plugin<Given = settings.Settings> = { name: string; hooks: Partial<Hooks<Given>> };
