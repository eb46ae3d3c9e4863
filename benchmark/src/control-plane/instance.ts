/**
 * Models one instance: the real decisions of the configuration, membership and platform tasks, with
 * in-memory links instead of sockets.
 */
import * as core from '@medlarweir/core';
import * as knowledge from '@medlarweir/core/knowledge';
import * as store from '@medlarweir/platform/store';

import type * as worlds from './world.js';

/** Same as in the clients of the platform plug-in. */
const CALL_TIMEOUT_MS = 2_000;
const PLATFORM = 'platform';
/** Same as the store task's watch on the list of instances. */
const LIST_WAIT_MS = 1_500;
/** Seed peers from the settings, queried by an instance that has no configuration. */
const SEEDS = ['instance-0', 'instance-1', 'instance-2'];

export function create(world: worlds.World, name: string, dataCentre: string): worlds.Instance {
  const { timeline, links, platform } = world;
  const life = { run: 0, isRunning: false };
  const traffic: worlds.Traffic = { messages: 0, bytes: 0 };
  const head = core.configuration.heads.HEAD_KEY;
  const reader = { prefix: head, changed: { send: takeConfiguration }, away: undefined };
  const listReader = {
    prefix: store.instanceList.KEY_PREFIX,
    changed: { send: takeList },
    away: undefined,
  };
  const state = fresh();

  function fresh() {
    return {
      configuration: core.configuration.initial(name, dataCentre),
      membership: core.membership.initial(name, dataCentre, `${name}#${life.run}`),
      watches: knowledge.watches.initial(name),
      list: new Map() as store.instanceList.ByKey,
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
  function takeWatches(step: core.kernel.Step<knowledge.watches.State, WatchCommand>): void {
    state.watches = step.state;
    step.commands.forEach(performWatch);
  }

  function performConfiguration(command: core.configuration.Command): void {
    switch (command.kind) {
      case 'watch':
        takeWatches(
          knowledge.watches.addSubscriber(state.watches, kindOf(head), reader, undefined, now()),
        );
        return;
      case 'unwatch':
        takeWatches(
          knowledge.watches.removeSubscriber(state.watches, kindOf(head), reader.changed),
        );
        return;
      case 'read':
        readObject(core.configuration.TICKETS[command.what], command.key);
        return;
      case 'relay-changes':
        notify(command.to, { kind: 'configuration-changes', changes: command.changes });
        return;
      case 'send-changes':
        notify([command.address], { kind: 'configuration-changes', changes: command.changes });
        return;
      case 'send-configuration':
        notify([command.address], {
          kind: 'configuration',
          configuration: command.configuration,
        });
        return;
      case 'request': {
        const to = command.to === 'seeds' ? SEEDS : command.to;
        const { generation } = command;
        notify(to, { kind: 'configuration-request', generation, address: name });
        return;
      }
      case 'report':
        takeMembership({
          type: 'membership.configuration-confirmed',
          generation: command.generation,
          confirmedAtMs: command.confirmedAtMs,
        });
        return;
      case 'schedule-tick':
        later(core.configuration.TICK_MS, () => takeConfiguration({ type: 'configuration.tick' }));
        return;
      case 'record-adopted':
        world.onAdopted(name, life.run, command.generation);
        return;
      case 'record-refused':
        throw new Error(core.results.describe(command.failure));
      case 'publish':
      case 'publish-confirmation-status':
        return;
      default:
        core.results.assertNever(command);
    }
  }

  function performMembership(command: core.membership.Command): void {
    switch (command.kind) {
      case 'watch-instances':
        watchList(command.pauseMs);
        return;
      case 'publish':
        takeConfiguration({ type: 'configuration.peers-changed', members: command.members });
        return;
      case 'heartbeat':
        notify(command.to, command.heartbeat);
        return;
      case 'report-peer-confirmation': {
        const { from, generation, ageMs } = command;
        takeConfiguration({ type: 'configuration.peer-confirmed', from, generation, ageMs });
        return;
      }
      case 'schedule-tick':
        later(core.membership.TICK_MS, () => takeMembership({ type: 'membership.tick' }));
        return;
      default:
        core.results.assertNever(command);
    }
  }

  function takeList(news: core.messages.PlatformWatchUpdated): void {
    state.list = store.instanceList.applyUpdate(state.list, news);
    if (!knowledge.updates.hasChanges(news)) return;
    const instances = [...state.list.values()];
    takeMembership({ type: 'platform.instances-changed', instances });
  }
  function watchList(pauseMs: number): void {
    const kind = kindOf(store.instanceList.KEY_PREFIX);
    const pace = { waitMs: LIST_WAIT_MS, pauseMs };
    const isKnown = state.watches.watches.has(kind);
    takeWatches(
      isKnown
        ? knowledge.watches.setPace(state.watches, kind, pace)
        : knowledge.watches.addSubscriber(state.watches, kind, listReader, pace, now()),
    );
  }

  function performWatch(command: WatchCommand): void {
    switch (command.kind) {
      case 'fetch-page':
        ask(command.objectKind, command.run, (answer) => answer(platform.list(command.objectKind)));
        return;
      case 'fetch-updates': {
        const { objectKind: kind, run, revision, waitMs } = command;
        ask(kind, run, (answer) => platform.poll(kind, revision, waitMs, answer));
        return;
      }
      case 'poll-later': {
        const { objectKind: kind, run, delayMs } = command;
        later(delayMs, () => decideWatch({ type: 'watch.timer-fired', kind, run }));
        return;
      }
      case 'tell':
        command.reader.changed.send(command.message);
        return;
      case 'send-failure':
      case 'share-position':
      case 'share-changes':
      case 'record-behind':
      case 'record-lost':
      case 'record-back':
      case 'record-history-lost':
      case 'record-history-regained':
        return;
      default:
        core.results.assertNever(command);
    }
  }
  function decideWatch(message: knowledge.watches.Message): void {
    takeWatches(knowledge.answers.decide(state.watches, message, now()));
  }
  function ask(kind: string, run: number, call: (answer: (text: string) => void) => void): void {
    if (links.isCut(dataCentre, PLATFORM)) {
      const failure = core.results.failure('platformUnavailable', 'cut');
      const answer: knowledge.watches.Answer = { kind: 'failed', failure };
      later(CALL_TIMEOUT_MS, () => decideWatch({ type: 'watch.answered', kind, run, answer }));
      return;
    }
    later(1, () =>
      call((text) =>
        later(1, () => {
          count(text);
          const answer = JSON.parse(text) as knowledge.watches.Answer;
          decideWatch({ type: 'watch.answered', kind, run, answer });
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
        takeConfiguration({ type: 'platform.answered', correlationId: ticket, answer });
      });
    });
  }

  /** Encodes once for each recipient, as the peers plug-in does. */
  function notify(to: readonly string[], note: core.messages.GossipMessage): void {
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
    const note = JSON.parse(text) as core.messages.GossipMessage;
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
        takeMembership({ type: 'membership.heartbeat-received', heartbeat: note });
        return;
      case 'digest':
        return;
      default:
        core.results.assertNever(note);
    }
  }

  return {
    name,
    dataCentre,
    isRunning: () => life.isRunning,
    generation: () => state.configuration.current?.generation ?? 0,
    isConfirmed: () => state.configuration.confirmationStatus === 'confirmed',
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

type WatchCommand = knowledge.watches.Command;

/** Returns the object kind at the start of a key prefix. */
function kindOf(prefix: string): string {
  return prefix.split('/', 1)[0] ?? prefix;
}
