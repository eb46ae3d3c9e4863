/** The task that owns the connections to the stores' report streams. */
import * as core from '@medlarweir/core';
import * as lineFeed from '@medlarweir/line-feed';
import * as undici from 'undici';

import * as wire from './wire.js';

type Message =
  | core.messages.StoresMessage
  | { type: 'feed.ended'; source: string; address: string }
  | { type: 'feed.retry'; source: string };
type State = core.feeds.State;
type Command = core.feeds.Command | { kind: 'drop-piece'; url: string };
type Step = core.kernel.Step<State, Command>;
type TaskContext = core.kernel.TaskContext<Message>;

export const definition: core.kernel.TaskDefinition<State, Message, Command> = {
  name: 'stores',
  create: (context) => {
    const open = new Map<string, lineFeed.Stream>();
    return {
      initial: core.feeds.initial,
      decide,
      perform: (command) => perform(context, open, command),
      dump: ({ addresses }) => ({ addresses }),
    };
  },
};

function decide(state: State, message: Message): Step {
  switch (message.type) {
    case 'configuration.adopted':
      return core.feeds.decide(state, { kind: 'sources', addresses: addressesOf(message) });
    case 'stores.request-snapshot':
      return resynchronize(state, message.store);
    case 'feed.ended':
      return core.feeds.decide(state, {
        kind: 'ended',
        source: message.source,
        address: message.address,
      });
    case 'feed.retry':
      return core.feeds.decide(state, { kind: 'retry', source: message.source });
    case 'task.stop':
      return core.feeds.decide(state, { kind: 'stop' });
    case 'stores.drop-piece':
      return dropPiece(state, message.manifest);
    case 'task.start':
    case 'task.drain':
      return { state, commands: [] };
    default:
      return core.results.assertNever(message);
  }
}

function addressesOf({ configuration }: core.messages.ConfigurationAdopted) {
  const stores = configuration.stores.filter(({ presence }) => presence === 'in');
  return Object.fromEntries(stores.map(({ name, address }) => [name, address]));
}

/** Reopens the stream: it begins with a snapshot, which closes any gap in the reports. */
function resynchronize(state: State, store: string): Step {
  const address = state.addresses[store];
  if (address === undefined) return { state, commands: [] };
  return {
    state,
    commands: [
      { kind: 'close', source: store },
      { kind: 'open', source: store, address },
    ],
  };
}

/** Names the slot incarnation, so that a slot reserved again since then is not dropped. */
function dropPiece(state: State, manifest: core.keptContext.Manifest): Step {
  const address = state.addresses[manifest.store];
  if (address === undefined) return { state, commands: [] };
  const incarnation = encodeURIComponent(manifest.slotIncarnation);
  const url = `http://${address}/slots/${manifest.slot}?incarnation=${incarnation}`;
  return { state, commands: [{ kind: 'drop-piece', url }] };
}

function perform(context: TaskContext, open: Map<string, lineFeed.Stream>, command: Command): void {
  switch (command.kind) {
    case 'open':
      open.set(command.source, openFeed(context, command.source, command.address));
      return;
    case 'close':
      open.get(command.source)?.close();
      open.delete(command.source);
      return;
    case 'silent':
      reportToRouting(context, command.source, { kind: 'silent' });
      return;
    case 'retry-later':
      context.schedule(`retry-${command.source}`, core.feeds.RETRY_MS, {
        type: 'feed.retry',
        source: command.source,
      });
      return;
    case 'drop-piece':
      void dropSlot(command.url);
      return;
    default:
      core.results.assertNever(command);
  }
}

const DROP_TIMEOUT_MS = 5_000;

/**
 * Does not retry: if the request is lost, the piece stays in its slot until the store needs the
 * space.
 */
async function dropSlot(url: string): Promise<void> {
  try {
    const signal = AbortSignal.timeout(DROP_TIMEOUT_MS);
    const response = await undici.request(url, { method: 'DELETE', signal });
    await response.body.dump();
  } catch {
    // The store evicts the piece itself when it needs the space.
  }
}

function openFeed(context: TaskContext, source: string, address: string): lineFeed.Stream {
  return lineFeed.open({
    url: `http://${address}/events`,
    onLine: (line) => {
      const report = wire.decodeReport(line);
      if (report) reportToRouting(context, source, report);
    },
    onEnd: () => context.self.send({ type: 'feed.ended', source, address }),
  });
}

function reportToRouting(
  context: TaskContext,
  store: string,
  report: core.messages.StoreReport,
): void {
  context.send('routing', { type: 'store.reported', store, report });
}
