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
/** Messages that are carried out at one upstream, by its address. */
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

/** A port that refuses connections: an operation at a removed upstream fails as `not-connected`. */
const UNREACHABLE_ADDRESS = '127.0.0.1:9';

/** The sockets that the task owns. */
type Sockets = {
  pools: pools.Pools;
  feeds: Map<string, lineFeed.Stream>;
  runs: Map<string, lineFeed.Stream>;
  /** Aborts the imports in flight, by run id. */
  imports: Map<string, AbortController>;
};

export const definition: core.kernel.TaskDefinition<State, Message, Command> = {
  name: 'upstreams',
  create: (context) => {
    const sockets: Sockets = {
      pools: pools.create(),
      feeds: new Map(),
      runs: new Map(),
      imports: new Map(),
    };
    return {
      initial: { addresses: {}, feeds: core.feeds.initial },
      decide,
      perform: (command) => perform(context, sockets, command),
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

/** Reopens the stream: it begins with a snapshot, which closes any gap in the reports. */
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

/** Last check before the send: the cold-start right may have expired while the process was paused. */
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

function perform(context: TaskContext, sockets: Sockets, command: Command): void {
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
      sockets.feeds.set(command.source, openFeed(context, command.source, command.address));
      return;
    case 'close':
      sockets.feeds.get(command.source)?.close();
      sockets.feeds.delete(command.source);
      return;
    case 'silent':
      reportToRouting(context, command.source, { kind: 'silent' });
      context.record({ name: 'upstreamSilent', details: { upstream: command.source } });
      return;
    case 'retry-later':
      context.schedule(`retry-${command.source}`, core.feeds.RETRY_MS, {
        type: 'feed.retry',
        source: command.source,
      });
      return;
    default:
      core.results.assertNever(command);
  }
}

function performOperation(sockets: Sockets, message: Operation, address: string): void {
  const { pools: connectionPools, runs: openRuns, imports } = sockets;
  switch (message.type) {
    case 'upstreams.run': {
      const { runId } = message.order;
      const replyTo = forgetRunAtEnd(openRuns, runId, message.replyTo);
      openRuns.set(runId, runs.start(address, message.order, replyTo));
      return;
    }
    case 'upstreams.resume': {
      const { runId, offset } = message;
      openRuns.get(runId)?.close();
      const replyTo = forgetRunAtEnd(openRuns, runId, message.replyTo);
      openRuns.set(runId, runs.resume(address, runId, offset, replyTo));
      return;
    }
    case 'upstreams.cancel':
      openRuns.get(message.runId)?.close();
      openRuns.delete(message.runId);
      void calls.cancelRun(connectionPools.poolFor(address), address, message.runId);
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
        .exportPieces(connectionPools, address, message.order)
        .then((report) => message.replyTo.send(report));
      return;
    case 'upstreams.call':
      void calls
        .callService(connectionPools, address, message.call)
        .then((report) => message.replyTo.send(report));
      return;
    case 'upstreams.order':
      void calls
        .sendOrder(connectionPools, address, message.order)
        .then((report) => message.replyTo.send(report));
      return;
    default:
      core.results.assertNever(message);
  }
}

/** A cancelled import reports nothing. */
function startImport(
  { pools: connectionPools, imports }: Sockets,
  { order, replyTo }: Extract<Operation, { type: 'upstreams.import' }>,
  address: string,
): void {
  const cancellation = new AbortController();
  imports.set(order.runId, cancellation);
  void calls.importPieces(connectionPools, address, order, cancellation.signal).then((report) => {
    imports.delete(order.runId);
    if (!cancellation.signal.aborted) replyTo.send(report);
  });
}

/** Removes a run's connection from the open runs at the last report of the run. */
function forgetRunAtEnd(
  openRuns: Map<string, lineFeed.Stream>,
  runId: string,
  replyTo: core.kernel.Address<core.messages.RunReport>,
): core.kernel.Address<core.messages.RunReport> {
  return {
    send: (report) => {
      if (report.type === 'run.ended' || report.type === 'run.failed') openRuns.delete(runId);
      replyTo.send(report);
    },
  };
}

function openFeed(context: TaskContext, source: string, address: string): lineFeed.Stream {
  return lineFeed.open({
    url: `http://${address}/v1/events`,
    onLine: (line) => {
      const report = wire.decodeEngineReport(line);
      if (report) reportToRouting(context, source, report);
    },
    onEnd: () => context.self.send({ type: 'feed.ended', source, address }),
  });
}

function reportToRouting(
  context: TaskContext,
  upstream: string,
  report: core.messages.EngineReport,
): void {
  context.send('routing', { type: 'engine.reported', upstream, report });
}
