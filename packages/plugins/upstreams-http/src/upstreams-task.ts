/** The task that owns the connections to upstreams: runs, calls and report streams. */
import * as core from '@medlarweir/core';
import * as lineFeed from '@medlarweir/line-feed';

import * as calls from './calls.js';
import * as pools from './pools.js';
import * as runs from './runs.js';
import * as wire from './wire.js';

type UpstreamsMessage = core.messages.UpstreamsMessage;
type Message =
  | UpstreamsMessage
  | { type: 'feed.ended'; source: string; address: string }
  | { type: 'feed.retry'; source: string };
/** Messages that mean work at an upstream whose address is known. */
type Operation = Extract<
  UpstreamsMessage,
  {
    type:
      | 'upstreams.run'
      | 'upstreams.resume'
      | 'upstreams.cancel'
      | 'upstreams.cancel-import'
      | 'upstreams.import'
      | 'upstreams.export'
      | 'upstreams.call'
      | 'upstreams.order';
  }
>;
type State = { addresses: Readonly<Record<string, string>>; feeds: core.feeds.State };
type Command =
  | core.feeds.Command
  | { kind: 'work'; work: Operation; address: string }
  | { kind: 'flow'; runId: string; flow: core.messages.FlowControl }
  | { kind: 'replace-connections'; address: string }
  | {
      kind: 'refuse-expired-run';
      runId: string;
      replyTo: core.kernel.Address<core.messages.RunReport>;
    };
type Step = core.kernel.Step<State, Command>;
type TaskContext = core.kernel.TaskContext<Message>;

/** A port that refuses connections: work for an upstream that has left fails as "not connected". */
const UNREACHABLE_ADDRESS = '127.0.0.1:9';

/** The sockets that the task owns. */
type Sockets = {
  pools: pools.Pools;
  feeds: Map<string, lineFeed.Stream>;
  runs: Map<string, lineFeed.Stream>;
  /** Imports under way, which can be broken off. */
  imports: Map<string, AbortController>;
};

export const definition: core.kernel.TaskDefinition<State, Message, Command> = {
  name: 'upstreams',
  create: (surroundings) => {
    const sockets: Sockets = {
      pools: pools.create(),
      feeds: new Map(),
      runs: new Map(),
      imports: new Map(),
    };
    return {
      initial: { addresses: {}, feeds: core.feeds.initial },
      decide,
      perform: (command) => perform(surroundings, sockets, command),
      dump: ({ addresses, feeds }) => ({ addresses, reportsFrom: Object.keys(feeds.addresses) }),
    };
  },
};

function decide(state: State, message: Message, now: core.kernel.Instant): Step {
  switch (message.type) {
    case 'configuration.adopted':
      return onConfiguration(state, message.configuration);
    case 'upstreams.run':
      return startRunIfInTime(state, message, now);
    case 'upstreams.import':
    case 'upstreams.export':
    case 'upstreams.order':
      return work(state, message, message.order.upstream);
    case 'upstreams.call':
      return work(state, message, message.call.upstream);
    case 'upstreams.resume':
    case 'upstreams.cancel':
    case 'upstreams.cancel-import':
      return work(state, message, message.upstream);
    case 'upstreams.flow-control':
      return { state, commands: [{ kind: 'flow', runId: message.runId, flow: message.flow }] };
    case 'upstreams.replace-connections': {
      const address = state.addresses[message.upstream] ?? UNREACHABLE_ADDRESS;
      return { state, commands: [{ kind: 'replace-connections', address }] };
    }
    case 'upstreams.request-snapshot':
      return resynchronize(state, message.upstream);
    case 'feed.ended':
      return onFeedEvent(state, {
        kind: 'ended',
        source: message.source,
        address: message.address,
      });
    case 'feed.retry':
      return onFeedEvent(state, { kind: 'retry', source: message.source });
    case 'task.stop':
      return onFeedEvent(state, { kind: 'stop' });
    case 'task.start':
    case 'task.drain':
      return { state, commands: [] };
    default:
      return core.results.assertNever(message);
  }
}

function onConfiguration(state: State, configuration: core.configuration.Configuration): Step {
  const addresses = Object.fromEntries(
    configuration.upstreams.map(({ name, address }) => [name, address]),
  );
  const engines = Object.fromEntries(
    configuration.upstreams
      .filter(({ kind }) => kind === 'engine')
      .map(({ name, address }) => [name, address]),
  );
  return onFeedEvent({ ...state, addresses }, { kind: 'sources', addresses: engines });
}

function onFeedEvent(state: State, event: core.feeds.Event): Step {
  const step = core.feeds.decide(state.feeds, event);
  return { state: { ...state, feeds: step.state }, commands: step.commands };
}

/** A stream begins with a snapshot, so opening it anew closes any gap. */
function resynchronize(state: State, upstream: string): Step {
  const address = state.feeds.addresses[upstream];
  if (address === undefined) return { state, commands: [] };
  return {
    state,
    commands: [
      { kind: 'close', source: upstream },
      { kind: 'open', source: upstream, address },
    ],
  };
}

/** The last check before the send: a process that was paused may have outlived its right. */
function startRunIfInTime(
  state: State,
  message: Extract<Operation, { type: 'upstreams.run' }>,
  now: core.kernel.Instant,
): Step {
  const { runId, upstream, sendBeforeMs = Infinity } = message.order;
  if (now.monotonicMs < sendBeforeMs) return work(state, message, upstream);
  return { state, commands: [{ kind: 'refuse-expired-run', runId, replyTo: message.replyTo }] };
}

function work(state: State, message: Operation, upstream: string): Step {
  const address = state.addresses[upstream] ?? UNREACHABLE_ADDRESS;
  return { state, commands: [{ kind: 'work', work: message, address }] };
}

function perform(surroundings: TaskContext, sockets: Sockets, command: Command): void {
  switch (command.kind) {
    case 'work':
      performOperation(sockets, command.work, command.address);
      return;
    case 'flow':
      sockets.runs.get(command.runId)?.setFlow(command.flow);
      return;
    case 'replace-connections':
      sockets.pools.replace(command.address);
      return;
    case 'refuse-expired-run':
      command.replyTo.send({
        type: 'run.failed',
        runId: command.runId,
        progress: { kind: 'not-connected' },
        failure: core.results.failure('coldRightLapsed', 'the send came too late'),
      });
      return;
    case 'open':
      sockets.feeds.set(command.source, openFeed(surroundings, command.source, command.address));
      return;
    case 'close':
      sockets.feeds.get(command.source)?.close();
      sockets.feeds.delete(command.source);
      return;
    case 'silent':
      reportToRouting(surroundings, command.source, { kind: 'silent' });
      surroundings.record({ name: 'upstreamSilent', details: { upstream: command.source } });
      return;
    case 'retry-later':
      surroundings.schedule(`retry-${command.source}`, core.feeds.RETRY_MS, {
        type: 'feed.retry',
        source: command.source,
      });
      return;
    default:
      core.results.assertNever(command);
  }
}

function performOperation(sockets: Sockets, message: Operation, address: string): void {
  const { pools: kept, runs: open, imports } = sockets;
  const dispatcher = kept.poolFor(address);
  switch (message.type) {
    case 'upstreams.run': {
      const { runId } = message.order;
      const replyTo = forgetRunAtEnd(open, runId, message.replyTo);
      open.set(runId, runs.start(address, message.order, replyTo));
      return;
    }
    case 'upstreams.resume': {
      const { runId, offset } = message;
      open.get(runId)?.close();
      const replyTo = forgetRunAtEnd(open, runId, message.replyTo);
      open.set(runId, runs.resume(address, runId, offset, replyTo));
      return;
    }
    case 'upstreams.cancel':
      open.get(message.runId)?.close();
      open.delete(message.runId);
      void calls.cancelRun(dispatcher, address, message.runId);
      return;
    case 'upstreams.import':
      startImport(sockets, message, address);
      return;
    case 'upstreams.cancel-import':
      imports.get(message.runId)?.abort();
      imports.delete(message.runId);
      return;
    case 'upstreams.export':
      void calls
        .exportPieces(dispatcher, address, message.order)
        .then((found) => message.replyTo.send(found));
      return;
    case 'upstreams.call':
      void calls
        .callService(kept, address, message.call)
        .then((found) => message.replyTo.send(found));
      return;
    case 'upstreams.order':
      void calls
        .sendOrder(dispatcher, address, message.order)
        .then((found) => message.replyTo.send(found));
      return;
    default:
      core.results.assertNever(message);
  }
}

/** A cancelled import reports nothing. */
function startImport(
  { pools: kept, imports }: Sockets,
  { order, replyTo }: Extract<Operation, { type: 'upstreams.import' }>,
  address: string,
): void {
  const broken = new AbortController();
  imports.set(order.runId, broken);
  void calls.importPieces(kept.poolFor(address), address, order, broken.signal).then((found) => {
    imports.delete(order.runId);
    if (!broken.signal.aborted) replyTo.send(found);
  });
}

/** Forgets a run's connection once its last report has been passed on. */
function forgetRunAtEnd(
  open: Map<string, lineFeed.Stream>,
  runId: string,
  replyTo: core.kernel.Address<core.messages.RunReport>,
): core.kernel.Address<core.messages.RunReport> {
  return {
    send: (found) => {
      if (found.type === 'run.ended' || found.type === 'run.failed') open.delete(runId);
      replyTo.send(found);
    },
  };
}

function openFeed(surroundings: TaskContext, source: string, address: string): lineFeed.Stream {
  return lineFeed.open({
    url: `http://${address}/v1/events`,
    onLine: (line) => {
      const found = wire.decodeEngineReport(line);
      if (found) reportToRouting(surroundings, source, found);
    },
    onEnd: () => surroundings.self.send({ type: 'feed.ended', source, address }),
  });
}

function reportToRouting(
  surroundings: TaskContext,
  upstream: string,
  found: core.messages.EngineReport,
): void {
  surroundings.send('routing', { type: 'engine.reported', upstream, report: found });
}
