/**
 * The kernel starts the tasks that plug-ins add, delivers messages by task name, and runs the
 * instance's lifecycle: serving, leaving (tasks finish their open work), stopped.
 */
import * as crypto from 'node:crypto';

import * as xstate from 'xstate';

import type * as events from '../events/event.js';
import type * as lifecycleMessages from '../messages/task-lifecycle.js';
import type * as mailboxes from '../messages/mailboxes.js';
import type * as settings from '../settings/schema.js';
import type * as plugin from './plugin.js';
import * as task from './task.js';

/** Messages to the kernel itself. */
export type KernelMessage =
  | { type: 'kernel.drain' }
  | { type: 'kernel.task-drained'; task: string }
  | { type: 'kernel.stop' };

/** A task that cannot do its work, and with it the instance. */
export type TaskFailure = { task: string; reason: string };

/** A running instance, as the binary uses it. */
export type Kernel = {
  send<Name extends mailboxes.TaskName>(name: Name, message: mailboxes.Mailboxes[Name]): void;
  dump(): Record<string, unknown>;
  /** Starts a planned stop: tasks finish their open work first. */
  drain(): void;
  /** Stops immediately, even with work still open. */
  stop(): void;
  /** Resolves when all tasks have stopped. */
  stopped: Promise<void>;
  /** Resolves with the first task that failed; its instance must end. */
  failed: Promise<TaskFailure>;
};

type DrainProgress = { undrainedTasks: readonly string[] };

/** The lifecycle of an instance. A drain ends once all `drainingTasks` have reported drained. */
function instanceLifecycle(
  drainingTasks: readonly string[],
  broadcast: (message: lifecycleMessages.LifecycleMessage) => void,
) {
  return xstate
    .setup({
      types: { context: {} as DrainProgress, events: {} as KernelMessage },
      actions: {
        announceDrain: () => broadcast({ type: 'task.drain' }),
        announceStop: () => broadcast({ type: 'task.stop' }),
        removeDrainedTask: xstate.assign(({ context, event }) => ({
          undrainedTasks:
            event.type === 'kernel.task-drained'
              ? context.undrainedTasks.filter((name) => name !== event.task)
              : context.undrainedTasks,
        })),
      },
      guards: { allDrained: ({ context }) => context.undrainedTasks.length === 0 },
    })
    .createMachine({
      id: 'instance',
      context: { undrainedTasks: drainingTasks },
      initial: 'serving',
      states: {
        serving: { on: { 'kernel.drain': 'leaving', 'kernel.stop': 'stopped' } },
        leaving: {
          entry: 'announceDrain',
          always: { guard: 'allDrained', target: 'stopped' },
          on: { 'kernel.task-drained': { actions: 'removeDrainedTask' }, 'kernel.stop': 'stopped' },
        },
        stopped: { entry: 'announceStop', type: 'final' },
      },
    });
}

type AnyDefinition = plugin.TaskDefinition<unknown, xstate.EventObject, unknown, never>;

/** Node counts delays in these steps, from the one before; none may end early. */
const CLOCK_STEP_MS = 1;

/** The settings that the kernel itself reads. */
export type NamedSettings = { name: string };

/** Tasks that hold callers' work; a planned stop waits until they have finished. */
export type DrainingTask = 'callers' | 'claims' | 'front' | 'orders';
const DRAINING_TASKS: readonly DrainingTask[] = ['callers', 'claims', 'front', 'orders'];

/** Sets up an instance from the given plug-ins and starts its tasks. */
export function start<Settings extends NamedSettings = settings.Settings>(
  instanceSettings: Settings,
  plugins: readonly plugin.Plugin<Settings>[],
): Kernel {
  const definitions = collectTasks(instanceSettings, plugins);
  let onFailed: (failure: TaskFailure) => void = () => undefined;
  const failed = new Promise<TaskFailure>((resolve) => {
    onFailed = resolve;
  });
  const incarnation = crypto.randomUUID();
  const actors = new Map<string, xstate.AnyActorRef>();
  const dumps = new Map<string, () => unknown>();
  const broadcast = (message: lifecycleMessages.LifecycleMessage) =>
    [...actors.values()].forEach((a) => a.send(message));
  const drainingTasks = DRAINING_TASKS.filter((name) => definitions.some((d) => d.name === name));
  const lifecycle = xstate.createActor(instanceLifecycle(drainingTasks, broadcast), {
    id: instanceSettings.name,
  });

  const send: Kernel['send'] = (name, message) => actors.get(name)?.send(message);
  const dump = () => Object.fromEntries([...dumps].map(([name, readState]) => [name, readState()]));

  function startTask(definition: AnyDefinition, id: string): xstate.AnyActorRef {
    const timers = new Map<string, NodeJS.Timeout>();
    const unschedule = (timerId: string) => {
      clearTimeout(timers.get(timerId));
      timers.delete(timerId);
    };
    let dumpState: (state: unknown) => unknown = () => undefined;
    const logic = task.actorLogic<unknown, xstate.EventObject, unknown>((self) => {
      const behaviour = definition.create({
        self,
        settings: instanceSettings as never,
        incarnation,
        send,
        spawn: ((child: AnyDefinition) =>
          startTask(child, `${child.name}-${crypto.randomUUID()}`)) as never,
        record: (event: events.Event) => send('journal', { type: 'journal.record', event }),
        schedule(timerId, delayMs, message) {
          unschedule(timerId);
          const fire = () => {
            timers.delete(timerId);
            self.send(message);
          };
          timers.set(timerId, setTimeout(fire, Math.ceil(delayMs) + CLOCK_STEP_MS));
        },
        unschedule,
        drained: () => lifecycle.send({ type: 'kernel.task-drained', task: definition.name }),
        fail: (reason) => onFailed({ task: definition.name, reason }),
        dump,
      });
      dumpState = behaviour.dump;
      return behaviour;
    });
    const actor = xstate.createActor(logic, { parent: lifecycle, id });
    const cleanUp = () => {
      [...timers.keys()].forEach(unschedule);
      actors.delete(id);
      dumps.delete(id);
    };
    actor.subscribe({ complete: cleanUp });
    actors.set(id, actor);
    dumps.set(id, () => dumpState(actor.getSnapshot().state));
    actor.start();
    actor.send({ type: 'task.start' });
    return actor;
  }

  const stopped = new Promise<void>((resolve) => {
    lifecycle.subscribe({ complete: resolve });
  });
  lifecycle.start();
  definitions.forEach((definition) => startTask(definition, definition.name));
  return {
    send,
    dump,
    drain: () => lifecycle.send({ type: 'kernel.drain' }),
    stop: () => lifecycle.send({ type: 'kernel.stop' }),
    stopped,
    failed,
  };
}

function collectTasks<Settings>(
  instanceSettings: Settings,
  plugins: readonly plugin.Plugin<Settings>[],
): readonly AnyDefinition[] {
  const definitions: AnyDefinition[] = [];
  const setup: plugin.Setup<Settings> = {
    settings: instanceSettings,
    addTask: (definition) => definitions.push(definition as unknown as AnyDefinition),
  };
  plugins.forEach((added) => added.hooks['instance:setup']?.(setup));
  return definitions;
}
