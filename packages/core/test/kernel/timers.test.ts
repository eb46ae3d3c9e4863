/**
 * Guards against timers that fire early: Node cuts delays to whole milliseconds, and counts them from the
 * whole millisecond before. A stream was cut before its caller's deadline.
 */
import * as timers from 'node:timers/promises';

import * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('timers of tasks');

const SETTINGS = fixtures.aSettings();

const TIMERS = 400;
/** Delays from 1 ms on, a fraction of a millisecond apart. */
const DELAYS_MS = Array.from({ length: TIMERS }, (_, at) => 1 + at * 0.37);

type Message = core.messages.LifecycleMessage | { type: 'fired'; dueAtMs: number };

/** Notes by how much each message came before its time. */
function aTimedTask(earlyMs: number[]): core.kernel.TaskDefinition<number, Message, 'schedule'> {
  return {
    name: 'journal',
    create: ({ schedule }) => ({
      initial: 0,
      decide(fired, message, now) {
        if (message.type === 'task.start') return { state: fired, commands: ['schedule'] };
        if (message.type === 'fired') earlyMs.push(message.dueAtMs - now.monotonicMs);
        return { state: fired + 1, commands: [] };
      },
      perform: () =>
        DELAYS_MS.forEach((delayMs) => {
          const dueAtMs = performance.now() + delayMs;
          schedule(String(delayMs), delayMs, { type: 'fired', dueAtMs });
        }),
      dump: (fired) => ({ fired }),
    }),
  };
}

suite('a message does not come before its delay is over', async () => {
  const earlyMs: number[] = [];
  const plugin: core.kernel.Plugin = {
    name: 'test',
    hooks: { 'instance:setup': ({ addTask }) => addTask(aTimedTask(earlyMs)) },
  };
  const kernel = core.kernel.start(SETTINGS, [plugin]);
  while (earlyMs.length < TIMERS) await timers.setTimeout(10);
  kernel.stop();
  assert.equal(
    earlyMs.filter((ms) => ms > 0),
    [],
  );
});

suite.run();
