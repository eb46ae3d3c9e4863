/**
 * The kernel starts the tasks that plug-ins add, delivers messages by name, and takes an instance
 * through its life: serving, leaving (every task finishes what it holds), stopped.
 */
import * as crypto from 'node:crypto';

import * as xstate from 'xstate';

import type * as events from '../events/event.js';
import type * as lifeMessages from '../messages/task-lifecycle.js';
import type * as mailboxes from '../messages/mailboxes.js';
import type * as settings from '../settings/schema.js';
import type * as plugin from './plugin.js';
import * as task from './task.js';

/** Messages to the kernel itself. */
export type KernelMessage =
  | { type: 'kernel.drain' }
  | { type: 'kernel.task-drained'; task: string }
  | { type: 'kernel.stop' };

/** A started instance, as the binary sees it. */
export type Kernel = {
  send<Name extends mailboxes.TaskName>(name: Name, message: mailboxes.Mailboxes[Name]): void;
  dump(): Record<string, unknown>;
  /** Starts a planned stop: tasks finish what they hold. */
  drain(): void;
  /** Ends now, whatever is still open. */
  stop(): void;
  /** Resolves when all tasks have stopped. */
  stopped: Promise<void>;
};

type DrainProgress = { undrainedTasks: readonly string[] };

/** The life of an instance. `leavers` are the tasks that must finish work before the end. */
function instanceLifecycle(
  leavers: readonly string[],
  toAll: (message: lifeMessages.LifecycleMessage) => void,
) {
  return xstate
    .setup({
      types: { context: {} as DrainProgress, events: {} as KernelMessage },
      actions: {
        announceDrain: () => toAll({ type: 'task.drain' }),
        announceStop: () => toAll({ type: 'task.stop' }),
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
      context: { undrainedTasks: leavers },
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

/** What the kernel itself reads of the settings. */
export type NamedSettings = { name: string };

/** Tasks that hold callers' work and therefore delay a planned stop until they have finished. */
export type DrainingTask = 'callers' | 'claims' | 'front' | 'orders';
const DRAINING_TASKS: readonly DrainingTask[] = ['callers', 'claims', 'front', 'orders'];

/** Sets up an instance from the registered plug-ins and starts its tasks. */
export function start<Given extends NamedSettings = settings.Settings>(
  given: Given,
  plugins: readonly plugin.Plugin<Given>[],
): Kernel {
  const definitions = collectTasks(given, plugins);
  const incarnation = crypto.randomUUID();
  const actors = new Map<string, xstate.AnyActorRef>();
  const dumps = new Map<string, () => unknown>();
  const toAll = (message: lifeMessages.LifecycleMessage) =>
    [...actors.values()].forEach((a) => a.send(message));
  const leavers = DRAINING_TASKS.filter((name) => definitions.some((d) => d.name === name));
  const life = xstate.createActor(instanceLifecycle(leavers, toAll), { id: given.name });

  const send: Kernel['send'] = (name, message) => actors.get(name)?.send(message);
  const dump = () => Object.fromEntries([...dumps].map(([name, readState]) => [name, readState()]));

  function startTask(definition: AnyDefinition, id: string): xstate.AnyActorRef {
    const timers = new Map<string, NodeJS.Timeout>();
    const unschedule = (timerId: string) => {
      clearTimeout(timers.get(timerId));
      timers.delete(timerId);
    };
    let reveal: (state: unknown) => unknown = () => undefined;
    const logic = task.actorLogic<unknown, xstate.EventObject, unknown>((self) => {
      const behaviour = definition.create({
        self,
        settings: given as never,
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
          timers.set(timerId, setTimeout(fire, delayMs));
        },
        unschedule,
        drained: () => life.send({ type: 'kernel.task-drained', task: definition.name }),
        dump,
      });
      reveal = behaviour.dump;
      return behaviour;
    });
    const actor = xstate.createActor(logic, { parent: life, id });
    const forget = () => {
      [...timers.keys()].forEach(unschedule);
      actors.delete(id);
      dumps.delete(id);
    };
    actor.subscribe({ complete: forget });
    actors.set(id, actor);
    dumps.set(id, () => reveal(actor.getSnapshot().state));
    actor.start();
    actor.send({ type: 'task.start' });
    return actor;
  }

  const stopped = new Promise<void>((resolve) => {
    life.subscribe({ complete: resolve });
  });
  life.start();
  definitions.forEach((definition) => startTask(definition, definition.name));
  return {
    send,
    dump,
    drain: () => life.send({ type: 'kernel.drain' }),
    stop: () => life.send({ type: 'kernel.stop' }),
    stopped,
  };
}

function collectTasks<Given>(
  given: Given,
  plugins: readonly plugin.Plugin<Given>[],
): readonly AnyDefinition[] {
  const definitions: AnyDefinition[] = [];
  const setup: plugin.Setup<Given> = {
    settings: given,
    addTask: (definition) => definitions.push(definition as unknown as AnyDefinition),
  };
  plugins.forEach((added) => added.hooks['instance:setup']?.(setup));
  return definitions;
}
