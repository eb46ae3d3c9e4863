/**
 * Models an entry instance at its interfaces, using the real routing and cold start decisions. It
 * can be paused or killed, and it has its own monotonic clock.
 */
import * as core from '@medlarweir/core';

import type * as choices from './choice.js';
import * as delays from './delays.js';
import type * as engines from './engine.js';
import * as gates from './gate.js';
import * as outlines from './outline.js';
import type * as platforms from './platform.js';
import type * as randomness from './randomness.js';
import type * as timelines from './timeline.js';

export type Entry = {
  name: string;
  /** A caller's prompt arrives. */
  ask(prompt: gates.Prompt): void;
  /** A report of an engine arrives. */
  receiveReport(upstream: string, report: core.messages.EngineReport): void;
  adopt(configuration: core.configuration.Configuration): void;
  seeMembers(members: readonly core.messages.Member[]): void;
  pause(): void;
  resume(): void;
  die(): void;
};

/** Outcome of a prompt. */
export type PromptOutcome =
  | { kind: 'first-token'; waitedMs: number }
  | { kind: 'ended' }
  | { kind: 'refused' }
  /** The run was lost after the caller had received tokens; it continues at another upstream. */
  | { kind: 'resumed' }
  /** The caller had received tokens and gets no more. */
  | { kind: 'cut' };

export type Options = {
  name: string;
  dataCentre: string;
  /** Reading of its monotonic clock at the start. */
  clockOffsetMs: number;
  /** Longest time from placement to send, as caused by context imports. */
  longestImportMs: number;
  longestDeliveryMs: number;
  /** Share of callers that disconnect; the engine is not notified and continues the run. */
  cancelledShare: number;
};

export type World = {
  timeline: timelines.Timeline;
  random: randomness.Randomness;
  platform: platforms.Platform;
  engines: ReadonlyMap<string, engines.Engine>;
  choice: choices.Choice;
  onEnding(ending: PromptOutcome): void;
};

type Life = { kind: 'running' } | { kind: 'paused'; held: (() => void)[] } | { kind: 'dead' };

/** Attempts at different upstreams before a prompt is refused. */
const MAX_ATTEMPTS = 3;

export function create(world: World, options: Options): Entry {
  const { timeline, random } = world;
  const { name, dataCentre } = options;
  const routing = { state: core.routing.initial(name, dataCentre) };
  const coldStarts = {
    state: core.coldStarts.initial({ name, dataCentre }, `${name}-incarnation`),
  };
  const own: { life: Life; nextRequest: number } = { life: { kind: 'running' }, nextRequest: 1 };
  const now = (): core.kernel.Instant => {
    const monotonicMs = timeline.nowMs() + options.clockOffsetMs;
    return { monotonicMs, wallMs: monotonicMs };
  };

  const gate = gates.create({
    now,
    every: (delayMs, run) => timeline.after(delayMs, () => whenRunning(run)),
    onGranted: (prompt) => place(prompt, []),
    onRefused: giveUp,
  });

  /** Runs an action now, after the pause if the instance is paused, or never if it is dead. */
  function whenRunning(run: () => void): void {
    switch (own.life.kind) {
      case 'running':
        run();
        return;
      case 'paused':
        own.life.held.push(run);
        return;
      case 'dead':
        return;
      default:
        core.results.assertNever(own.life);
    }
  }

  function sendToRouting(message: core.messages.RoutingMessage): void {
    const step = core.routing.decide(routing.state, message, now());
    routing.state = step.state;
    step.commands.forEach(performRouting);
  }

  function performRouting(command: core.routing.Command): void {
    switch (command.kind) {
      case 'reply':
        command.replyTo.send(command.message);
        return;
      case 'request-cold-rights':
        sendToColdStarts({ type: 'cold-starts.set-cold-upstreams', upstreams: command.upstreams });
        return;
      case 'schedule-tick':
        timeline.after(core.routing.TICK_MS, () =>
          whenRunning(() => sendToRouting({ type: 'routing.tick' })),
        );
        return;
      case 'report-capacity':
        command.services.forEach((each) =>
          gate.tell({ type: 'admission.capacity-changed', ...each }),
        );
        return;
      case 'broadcast':
      case 'start-import':
      case 'cancel-import':
      case 'reply-import':
      case 'schedule-late-check':
      case 'drop-piece':
      case 'start-export':
      case 'record-exported':
      case 'request-engine-snapshot':
      case 'request-store-snapshot':
        return;
      default:
        core.results.assertNever(command);
    }
  }

  function sendToColdStarts(message: core.messages.ColdStartsMessage): void {
    const step = core.coldStarts.decide(coldStarts.state, message, now());
    coldStarts.state = step.state;
    step.commands.forEach(performColdStarts);
  }

  function performColdStarts(command: core.coldStarts.Command): void {
    switch (command.kind) {
      case 'read':
      case 'write':
        world.platform.call(command, (ticket, answer) =>
          whenRunning(() =>
            sendToColdStarts({ type: 'platform.answered', correlationId: ticket, answer }),
          ),
        );
        return;
      case 'notify-routing': {
        const { upstream, right } = command;
        sendToRouting({ type: 'cold-starts.right-changed', upstream, right });
        return;
      }
      case 'schedule-tick':
        timeline.after(core.coldStarts.TICK_MS, () =>
          whenRunning(() => sendToColdStarts({ type: 'cold-starts.tick' })),
        );
        return;
      case 'record-right-gained':
        return;
      default:
        core.results.assertNever(command);
    }
  }

  function place(prompt: gates.Prompt, excluded: readonly string[]): void {
    const requestId = String(own.nextRequest);
    own.nextRequest += 1;
    const replyTo = {
      send: ({ decision }: core.messages.PlacementDecided) => {
        if (decision.kind === 'refused') giveUp(prompt);
        else sendLater(requestId, prompt, decision.placement, excluded);
      },
    };
    const outline = outlines.of(requestId, prompt, excluded);
    world.choice.plan({ state: routing.state, outline, now: now(), sendToRouting, replyTo });
  }

  function giveUp(prompt: gates.Prompt): void {
    gate.release(prompt);
    world.onEnding({ kind: prompt.hasToken ? 'cut' : 'refused' });
  }

  function sendLater(
    requestId: string,
    prompt: gates.Prompt,
    placement: core.messages.Placement,
    excluded: readonly string[],
  ): void {
    const { upstream, sendBeforeMs = Infinity } = placement;
    const finish = (outcome: core.messages.PlacementOutcome) =>
      sendToRouting({ type: 'routing.request-finished', requestId, upstream, outcome });
    const again = (reach: core.messages.SendProgress) => {
      finish({ kind: 'failed', progress: reach });
      if (excluded.length + 1 < MAX_ATTEMPTS) place(prompt, [...excluded, upstream]);
      else giveUp(prompt);
    };
    const send = () => {
      if (now().monotonicMs >= sendBeforeMs) again({ kind: 'not-connected' });
      else deliver(upstream, prompt, finish, again);
    };
    timeline.after(random.between(0, options.longestImportMs), () => whenRunning(send));
  }

  function deliver(
    upstream: string,
    prompt: gates.Prompt,
    finish: (outcome: core.messages.PlacementOutcome) => void,
    again: (reach: core.messages.SendProgress) => void,
  ): void {
    const caller = { isGone: false };
    const back = (run: () => void) =>
      timeline.after(delays.ONE_WAY_MS, () =>
        whenRunning(() => {
          if (!caller.isGone) run();
        }),
      );
    if (random.share() < options.cancelledShare) {
      timeline.after(random.between(0, delays.LATEST_CANCEL_MS), () => {
        back(() => {
          caller.isGone = true;
          finish({ kind: 'cancelled' });
          gate.release(prompt);
        });
      });
    }
    const run: engines.Run = {
      onRefused: () => back(() => again({ kind: 'vouched-not-run' })),
      onFirstToken: () =>
        back(() => {
          if (prompt.hasToken) return;
          Object.assign(prompt, { hasToken: true });
          const waitedMs = timeline.nowMs() - prompt.arrivedAtMs;
          world.onEnding({ kind: 'first-token', waitedMs });
        }),
      onEnded: () =>
        back(() => {
          finish({ kind: 'completed', reusedTokens: 0, importedTokens: 0, firstTokenMs: 0 });
          gate.release(prompt);
          world.onEnding({ kind: 'ended' });
        }),
      onLost: () =>
        back(() => {
          if (prompt.hasToken) world.onEnding({ kind: 'resumed' });
          again({ kind: 'responding' });
        }),
    };
    timeline.after(random.between(delays.ONE_WAY_MS, options.longestDeliveryMs), () =>
      world.engines.get(upstream)?.receive(run),
    );
  }

  sendToRouting({ type: 'task.start' });
  sendToColdStarts({ type: 'task.start' });
  gate.tell({ type: 'task.start' });
  return {
    name,
    ask: (prompt) =>
      whenRunning(() => {
        own.nextRequest += 1;
        if (world.choice.hasAdmission) gate.ask({ ...prompt, requestId: `ask-${own.nextRequest}` });
        else place(prompt, []);
      }),
    receiveReport: (upstream, report) =>
      whenRunning(() => sendToRouting({ type: 'engine.reported', upstream, report })),
    adopt: (configuration) =>
      whenRunning(() => {
        sendToRouting({ type: 'configuration.adopted', configuration });
        sendToColdStarts({ type: 'configuration.adopted', configuration });
        gate.tell({ type: 'configuration.adopted', configuration });
      }),
    seeMembers: (members) =>
      whenRunning(() => {
        sendToRouting({ type: 'membership.changed', members });
        sendToColdStarts({ type: 'membership.changed', members });
      }),
    pause() {
      if (own.life.kind === 'running') own.life = { kind: 'paused', held: [] };
    },
    resume() {
      if (own.life.kind !== 'paused') return;
      const { held } = own.life;
      own.life = { kind: 'running' };
      held.forEach(whenRunning);
    },
    die() {
      own.life = { kind: 'dead' };
    },
  };
}
