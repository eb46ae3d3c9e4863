/** The task that owns the connections to upstreams: runs, calls and report streams. */
import * as core from '@medlarweir/core';
import * as lineFeed from '@medlarweir/line-feed';

import * as calls from './calls.js';
import * as pools from './pools.js';
import * as runs from './runs.js';
import * as wire from './wire.js';

type Outside = core.messages.UpstreamsMessage;
type Message =
  | Outside
  | { type: 'feed.ended'; source: string; address: string }
  | { type: 'feed.retry'; source: string };
/** Messages that mean work at an upstream whose address is known. */
type Work = Extract<
  Outside,
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
  | { kind: 'work'; work: Work; address: string }
  | { kind: 'flow'; runId: string; flow: core.messages.FlowControl }
  | { kind: 'replace-connections'; address: string }
  | { kind: 'refuse-late'; runId: string; replyTo: core.kernel.Address<core.messages.RunReport> };
type Step = core.kernel.Step<State, Command>;
type Surroundings = core.kernel.TaskContext<Message>;

/** A port that refuses connections: work for an upstream that has left fails as "not connected". */
const NO_ADDRESS = '127.0.0.1:9';

/** The sockets that the task owns. */
type Sockets = {
  pools: pools.Pools;
  feeds: Map<string, lineFeed.Feed>;
  runs: Map<string, lineFeed.Feed>;
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
      return beginRun(state, message, now);
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
      const address = state.addresses[message.upstream] ?? NO_ADDRESS;
      return { state, commands: [{ kind: 'replace-connections', address }] };
    }
    case 'upstreams.resynchronize':
      return resynchronize(state, message.upstream);
    case 'feed.ended':
      return onFeed(state, { kind: 'ended', source: message.source, address: message.address });
    case 'feed.retry':
      return onFeed(state, { kind: 'retry', source: message.source });
    case 'task.stop':
      return onFeed(state, { kind: 'stop' });
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
  return onFeed({ ...state, addresses }, { kind: 'sources', addresses: engines });
}

function onFeed(state: State, event: core.feeds.Event): Step {
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
function beginRun(
  state: State,
  message: Extract<Work, { type: 'upstreams.run' }>,
  now: core.kernel.Instant,
): Step {
  const { runId, upstream, sendBeforeMs = Infinity } = message.order;
  if (now.monotonicMs < sendBeforeMs) return work(state, message, upstream);
  return { state, commands: [{ kind: 'refuse-late', runId, replyTo: message.replyTo }] };
}

function work(state: State, message: Work, upstream: string): Step {
  const address = state.addresses[upstream] ?? NO_ADDRESS;
  return { state, commands: [{ kind: 'work', work: message, address }] };
}

function perform(surroundings: Surroundings, sockets: Sockets, command: Command): void {
  switch (command.kind) {
    case 'work':
      carryOut(sockets, command.work, command.address);
      return;
    case 'flow':
      sockets.runs.get(command.runId)?.setFlow(command.flow);
      return;
    case 'replace-connections':
      sockets.pools.replace(command.address);
      return;
    case 'refuse-late':
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
      report(surroundings, command.source, { kind: 'silent' });
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

function carryOut(sockets: Sockets, message: Work, address: string): void {
  const { pools: kept, runs: open, imports } = sockets;
  const dispatcher = kept.poolFor(address);
  switch (message.type) {
    case 'upstreams.run': {
      const { runId } = message.order;
      const replyTo = untilEnd(open, runId, message.replyTo);
      open.set(runId, runs.start(address, message.order, replyTo));
      return;
    }
    case 'upstreams.resume': {
      const { runId, offset } = message;
      open.get(runId)?.close();
      const replyTo = untilEnd(open, runId, message.replyTo);
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
        .giveOrder(dispatcher, address, message.order)
        .then((found) => message.replyTo.send(found));
      return;
    default:
      core.results.assertNever(message);
  }
}

/** A cancelled import reports nothing. */
function startImport(
  { pools: kept, imports }: Sockets,
  { order, replyTo }: Extract<Work, { type: 'upstreams.import' }>,
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
function untilEnd(
  open: Map<string, lineFeed.Feed>,
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

function openFeed(surroundings: Surroundings, source: string, address: string): lineFeed.Feed {
  return lineFeed.open({
    url: `http://${address}/v1/events`,
    onLine: (line) => {
      const found = wire.decodeEngineReport(line);
      if (found) report(surroundings, source, found);
    },
    onEnd: () => surroundings.self.send({ type: 'feed.ended', source, address }),
  });
}

function report(
  surroundings: Surroundings,
  upstream: string,
  found: core.messages.EngineReport,
): void {
  surroundings.send('routing', { type: 'engine.reported', upstream, report: found });
}
