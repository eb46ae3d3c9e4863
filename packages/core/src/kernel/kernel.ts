/**
 * The kernel starts the tasks that plug-ins add, delivers messages by name, and takes an instance
 * through its life: serving, leaving (every task finishes what it holds), stopped.
 */
import * as crypto from 'node:crypto';

import * as xstate from 'xstate';

import type * as events from '../events/event.js';
import type * as lifeMessages from '../messages/life.js';
import type * as mailboxes from '../messages/mailboxes.js';
import type * as settings from '../settings/schema.js';
import type * as plugin from './plugin.js';
import * as task from './task.js';

/** Messages to the kernel itself. */
export type KernelMessage =
  { type: 'kernel.leave' } | { type: 'kernel.left'; task: string } | { type: 'kernel.stop' };

/** A started instance, as the binary sees it. */
export type Kernel = {
  send<Name extends mailboxes.TaskName>(name: Name, message: mailboxes.Mailboxes[Name]): void;
  dump(): Record<string, unknown>;
  /** Starts a planned stop: tasks finish what they hold. */
  leave(): void;
  /** Ends now, whatever is still open. */
  stop(): void;
  /** Resolves when all tasks have stopped. */
  stopped: Promise<void>;
};

type Holdings = { waitingFor: readonly string[] };

/** The life of an instance. `leavers` are the tasks that must finish work before the end. */
function lifeMachine(
  leavers: readonly string[],
  toAll: (message: lifeMessages.TaskMessage) => void,
) {
  return xstate
    .setup({
      types: { context: {} as Holdings, events: {} as KernelMessage },
      actions: {
        announceLeave: () => toAll({ type: 'task.leave' }),
        announceStop: () => toAll({ type: 'task.stop' }),
        noteLeft: xstate.assign(({ context, event }) => ({
          waitingFor:
            event.type === 'kernel.left'
              ? context.waitingFor.filter((name) => name !== event.task)
              : context.waitingFor,
        })),
      },
      guards: { allLeft: ({ context }) => context.waitingFor.length === 0 },
    })
    .createMachine({
      id: 'instance',
      context: { waitingFor: leavers },
      initial: 'serving',
      states: {
        serving: { on: { 'kernel.leave': 'leaving', 'kernel.stop': 'stopped' } },
        leaving: {
          entry: 'announceLeave',
          always: { guard: 'allLeft', target: 'stopped' },
          on: { 'kernel.left': { actions: 'noteLeft' }, 'kernel.stop': 'stopped' },
        },
        stopped: { entry: 'announceStop', type: 'final' },
      },
    });
}

type AnyDefinition = plugin.TaskDefinition<unknown, xstate.EventObject, unknown, never>;

/** What the kernel itself reads of the settings. */
export type Named = { name: string };

/** Tasks that hold callers' work and therefore delay a planned stop until they have finished. */
export type Leaver = 'callers' | 'claims' | 'front' | 'orders';
const LEAVERS: readonly Leaver[] = ['callers', 'claims', 'front', 'orders'];

/** Sets up an instance from the registered plug-ins and starts its tasks. */
export function start<Given extends Named = settings.Settings>(
  given: Given,
  plugins: readonly plugin.Plugin<Given>[],
): Kernel {
  const definitions = collectTasks(given, plugins);
  const incarnation = crypto.randomUUID();
  const actors = new Map<string, xstate.AnyActorRef>();
  const dumps = new Map<string, () => unknown>();
  const toAll = (message: lifeMessages.TaskMessage) =>
    [...actors.values()].forEach((a) => a.send(message));
  const leavers = LEAVERS.filter((name) => definitions.some((d) => d.name === name));
  const life = xstate.createActor(lifeMachine(leavers, toAll), { id: given.name });

  const send: Kernel['send'] = (name, message) => actors.get(name)?.send(message);
  const dump = () => Object.fromEntries([...dumps].map(([name, readState]) => [name, readState()]));

  function launch(definition: AnyDefinition, id: string): xstate.AnyActorRef {
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
          launch(child, `${child.name}-${crypto.randomUUID()}`)) as never,
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
        left: () => life.send({ type: 'kernel.left', task: definition.name }),
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
  definitions.forEach((definition) => launch(definition, definition.name));
  return {
    send,
    dump,
    leave: () => life.send({ type: 'kernel.leave' }),
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
