/**
 * One instance of the model: the real decisions of the configuration, membership and platform tasks,
 * with in-memory links in the place of their sockets.
 */
import * as core from '@medlarweir/core';
import * as platformHttp from '@medlarweir/plugin-platform-http';

import type * as linksOf from './links.js';
import type * as platforms from './platform.js';
import type * as timelines from './timeline.js';

export type World = {
  timeline: timelines.Timeline;
  links: linksOf.Links;
  platform: platforms.Platform;
  instances: Map<string, Instance>;
  /** Called whenever an instance puts a generation in force. */
  onAdopted(name: string, generation: number): void;
};

export type Instance = {
  name: string;
  dataCentre: string;
  isRunning(): boolean;
  generation(): number;
  isConfirmed(): boolean;
  members(): readonly core.messages.Member[];
  traffic(): Traffic;
  receive(text: string): void;
  start(): void;
  /** Ends the process: its timers and messages are void. */
  stop(): void;
};

/** Messages and bytes, sent and received, calls of the platform included; encoded as JSON. */
export type Traffic = { messages: number; bytes: number };

/** As in the clients of the platform plug-in. */
const CALL_TIMEOUT_MS = 2_000;
const PLATFORM = 'platform';

export function create(world: World, name: string, dataCentre: string): Instance {
  const { timeline, links, platform } = world;
  const life = { run: 0, isRunning: false };
  const traffic: Traffic = { messages: 0, bytes: 0 };
  const reader = { send: takeConfiguration };
  const listReader = { send: takeMembership };
  const state = fresh();

  function fresh() {
    return {
      configuration: core.configuration.initial(name, dataCentre),
      membership: core.membership.initial(name, dataCentre, `${name}#${life.run}`),
      watches: platformHttp.watches.initial(name),
    };
  }
  function count(text: string): void {
    traffic.messages += 1;
    traffic.bytes += text.length;
  }
  /** One reading of both clocks. */
  function now(): core.kernel.Instant {
    return { monotonicMs: timeline.nowMs(), wallMs: timeline.nowMs() };
  }
  function later(delayMs: number, act: () => void): void {
    const { run } = life;
    timeline.after(delayMs, () => {
      if (life.run === run && life.isRunning) act();
    });
  }

  function takeConfiguration(message: core.messages.ConfigurationMessage): void {
    const step = core.configuration.decide(state.configuration, message, now());
    state.configuration = step.state;
    step.commands.forEach(performConfiguration);
  }
  function takeMembership(message: core.messages.MembershipMessage): void {
    const step = core.membership.decide(state.membership, message, now());
    state.membership = step.state;
    step.commands.forEach(performMembership);
  }
  function takeWatches(step: core.kernel.Step<platformHttp.watches.State, WatchCommand>): void {
    state.watches = step.state;
    step.commands.forEach(performWatch);
  }

  function performConfiguration(command: core.configuration.Command): void {
    const prefix = core.configuration.heads.HEAD_KEY;
    switch (command.kind) {
      case 'watch':
        takeWatches(platformHttp.watches.addReader(state.watches, prefix, reader));
        return;
      case 'unwatch':
        takeWatches(platformHttp.watches.removeReader(state.watches, prefix, reader));
        return;
      case 'read':
        readObject(core.configuration.TICKETS[command.what], command.key);
        return;
      case 'relay-changes':
        notify(command.to, { kind: 'configuration-changes', changes: command.changes });
        return;
      case 'answer-changes':
        notify([command.address], { kind: 'configuration-changes', changes: command.changes });
        return;
      case 'answer-whole':
        notify([command.address], {
          kind: 'configuration',
          configuration: command.configuration,
        });
        return;
      case 'request': {
        const to = command.to === 'seeds' ? [] : command.to;
        const { generation } = command;
        notify(to, { kind: 'configuration-request', generation, address: name });
        return;
      }
      case 'report':
        takeMembership({
          type: 'membership.confirmed',
          generation: command.generation,
          confirmedAtMs: command.confirmedAtMs,
        });
        return;
      case 'schedule-tick':
        later(core.configuration.TICK_MS, () => takeConfiguration({ type: 'configuration.tick' }));
        return;
      case 'note-adopted':
        world.onAdopted(name, command.generation);
        return;
      case 'note-refused':
        throw new Error(core.results.describe(command.failure));
      case 'publish':
      case 'publish-confidence':
        return;
      default:
        core.results.never(command);
    }
  }

  function performMembership(command: core.membership.Command): void {
    switch (command.kind) {
      case 'watch-instances':
        takeWatches(
          platformHttp.watches.watchInstances(state.watches, command.pauseMs, listReader),
        );
        return;
      case 'publish':
        takeConfiguration({ type: 'configuration.peers-changed', members: command.members });
        return;
      case 'heartbeat':
        notify(command.to, command.heartbeat);
        return;
      case 'report-confirmed': {
        const { from, generation, ageMs } = command;
        takeConfiguration({ type: 'configuration.peer-confirmed', from, generation, ageMs });
        return;
      }
      case 'schedule-tick':
        later(core.membership.TICK_MS, () => takeMembership({ type: 'membership.tick' }));
        return;
      default:
        core.results.never(command);
    }
  }

  function performWatch(command: WatchCommand): void {
    switch (command.kind) {
      case 'poll':
        poll(command.id, command.watched);
        return;
      case 'poll-later': {
        const { id, run, delayMs } = command;
        later(delayMs, () => decideWatch({ type: 'watch.due', id, run }));
        return;
      }
      case 'tell-objects':
        command.reader.send(command.message);
        return;
      case 'tell-instances':
        command.reader.send(command.message);
        return;
      case 'note':
        return;
      default:
        core.results.never(command);
    }
  }
  function decideWatch(message: platformHttp.watches.Message): void {
    takeWatches(platformHttp.watches.decide(state.watches, message));
  }
  function poll(id: string, watched: platformHttp.watches.Watched): void {
    const { run } = watched;
    if (links.isCut(dataCentre, PLATFORM)) {
      const failure = core.results.failure('platformUnavailable', 'cut');
      later(CALL_TIMEOUT_MS, () => decideWatch({ type: 'watch.failed', id, run, failure }));
      return;
    }
    later(1, () =>
      platform.poll(watched, (text) =>
        later(1, () => {
          count(text);
          const news = JSON.parse(text) as platformHttp.watches.News;
          decideWatch({ type: 'watch.answered', id, run, news });
        }),
      ),
    );
  }
  function readObject(ticket: string, key: string): void {
    if (links.isCut(dataCentre, PLATFORM)) return;
    later(1, () => {
      const text = JSON.stringify(platform.read(key));
      later(1, () => {
        count(text);
        const answer = JSON.parse(text) as core.messages.PlatformAnswer;
        takeConfiguration({ type: 'platform.answered', ticket, answer });
      });
    });
  }

  /** Encodes once for each receiver, as the peers plug-in does. */
  function notify(to: readonly string[], note: core.messages.PeerNote): void {
    to.forEach((each) => {
      const receiver = world.instances.get(each);
      if (!receiver) return;
      const text = JSON.stringify(note);
      count(text);
      links.send(dataCentre, receiver.dataCentre, text, receiver.receive);
    });
  }
  function receive(text: string): void {
    if (!life.isRunning) return;
    count(text);
    const note = JSON.parse(text) as core.messages.PeerNote;
    switch (note.kind) {
      case 'configuration':
        takeConfiguration({
          type: 'configuration.relayed',
          configuration: note.configuration,
        });
        return;
      case 'configuration-changes':
        takeConfiguration({ type: 'configuration.changes-relayed', changes: note.changes });
        return;
      case 'configuration-request':
        takeConfiguration({ ...note, type: 'configuration.requested' });
        return;
      case 'heartbeat':
        takeMembership({ type: 'membership.heard', heartbeat: note });
        return;
      case 'digest':
        return;
      default:
        core.results.never(note);
    }
  }

  return {
    name,
    dataCentre,
    isRunning: () => life.isRunning,
    generation: () => state.configuration.current?.generation ?? 0,
    isConfirmed: () => state.configuration.confidence === 'confirmed',
    traffic: () => ({ ...traffic }),
    members: () => state.membership.members,
    receive,
    start() {
      life.run += 1;
      life.isRunning = true;
      Object.assign(state, fresh());
      takeMembership({ type: 'task.start' });
      takeConfiguration({ type: 'task.start' });
    },
    stop() {
      life.isRunning = false;
    },
  };
}

type WatchCommand = platformHttp.watches.Command;
