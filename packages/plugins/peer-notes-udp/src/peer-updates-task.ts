/**
 * Task that owns the UDP socket on which instances exchange updates about their work. Updates are
 * not retransmitted: the next one makes up for a lost one, and waiting for an old one has no use.
 */
import * as dgram from 'node:dgram';

import * as core from '@medlarweir/core';

import * as datagram from './datagram.js';

type PeerEndpoint = core.messages.PeerEndpoint;
type Message = core.messages.PeerUpdatesMessage | { type: 'peer-updates.received'; bytes: Buffer };
type State = {
  /** Addresses of the members that receive updates about the work of this instance. */
  receivers: readonly string[];
  addresses: ReadonlyMap<string, string>;
  members: readonly string[];
  keys: ReadonlyMap<string, string>;
  /** Cache of the addresses that receive the changes of each store, for the current members. */
  relayReceivers: ReadonlyMap<string, readonly string[]>;
};
type Command =
  | { kind: 'listen' }
  | { kind: 'close' }
  | {
      kind: 'send';
      update: core.messages.PeerUpdate;
      key: string;
      receivers: readonly string[];
    }
  | { kind: 'open'; bytes: Buffer; keys: State['keys'] };
type Step = core.kernel.Step<State, Command>;
type Settings = core.settings.gateway.GatewaySettings;
type TaskContext = core.kernel.TaskContext<Message, Settings>;

/**
 * Limits the traffic to 10 KB/s, at four updates of 150 bytes per second to each recipient; see the
 * size in the design.
 */
const MAX_RECEIVERS = 16;
/** Bounds the size of an update, so that it fits into one datagram. */
const MAX_CHANGES_PER_DATAGRAM = 25;

export function definition(
  address: string,
): core.kernel.TaskDefinition<State, Message, Command, Settings> {
  return {
    name: 'peerNotes',
    create: (context) => {
      const { name, dataCentre } = context.settings;
      const socket = dgram.createSocket('udp4');
      return {
        initial: stateOf(name, dataCentre, []),
        decide: (state, message) => decide(name, dataCentre, state, message),
        perform: (command) => perform(context, socket, address, command),
        dump: ({ receivers }) => ({ receivers }),
      };
    },
  };
}

function decide(name: string, dataCentre: string, state: State, message: Message): Step {
  switch (message.type) {
    case 'task.start':
      return { state, commands: [{ kind: 'listen' }] };
    case 'task.stop':
      return { state, commands: [{ kind: 'close' }] };
    case 'task.drain':
      return { state, commands: [] };
    case 'peer-updates.members-changed':
      return { state: stateOf(name, dataCentre, message.members), commands: [] };
    case 'peer-updates.publish-work': {
      const update = { kind: 'work' as const, update: message.update };
      return { state, commands: sendCommands(state, name, state.receivers, [update]) };
    }
    case 'peer-updates.relay-store':
      return relayStoreChanges(state, name, message);
    case 'peer-updates.received':
      return { state, commands: [{ kind: 'open', bytes: message.bytes, keys: state.keys }] };
    default:
      return core.results.assertNever(message);
  }
}

function sendCommands(
  { keys }: State,
  name: string,
  receivers: readonly string[],
  updates: readonly core.messages.PeerUpdate[],
): readonly Command[] {
  const key = keys.get(name);
  if (key === undefined || receivers.length === 0) return [];
  return updates.map((update) => ({ kind: 'send', update, key, receivers }));
}

/**
 * Relays changes of a store to instances that do not read it themselves. Sends at least one update,
 * even without changes, because it shows that the store responds.
 */
function relayStoreChanges(
  state: State,
  name: string,
  { store, update }: Extract<Message, { type: 'peer-updates.relay-store' }>,
): Step {
  const key = `${store.name} ${store.maxReaders}`;
  const receivers = state.relayReceivers.get(key) ?? findRelayReceivers(state, name, store);
  const datagramCount = Math.max(1, Math.ceil(update.changes.length / MAX_CHANGES_PER_DATAGRAM));
  const updates = Array.from({ length: datagramCount }, (_, index): core.messages.PeerUpdate => {
    const changes = update.changes.slice(
      index * MAX_CHANGES_PER_DATAGRAM,
      (index + 1) * MAX_CHANGES_PER_DATAGRAM,
    );
    return { kind: 'store', from: name, store: store.name, update: { ...update, changes } };
  });
  return {
    state: { ...state, relayReceivers: new Map(state.relayReceivers).set(key, receivers) },
    commands: sendCommands(state, name, receivers, updates),
  };
}

function findRelayReceivers(
  { addresses, members }: State,
  name: string,
  store: core.sharedContext.eventReaders.Store,
): readonly string[] {
  const targets = core.sharedContext.eventReaders.relayTargets(name, store, members);
  return targets.flatMap((each) => addresses.get(each) ?? []);
}

/** Prefers members of the own data centre when there are more than `MAX_RECEIVERS`. */
function stateOf(name: string, dataCentre: string, members: readonly PeerEndpoint[]): State {
  const others = members.filter((each) => each.name !== name && each.notes !== undefined);
  const local = others.filter((each) => each.dataCentre === dataCentre);
  const remote = others.filter((each) => each.dataCentre !== dataCentre);
  const ranked = core.membership.rank(
    name,
    remote.map((each) => each.name),
  );
  const chosen = [...local.map((each) => each.name), ...ranked].slice(0, MAX_RECEIVERS);
  const addresses = new Map(others.map((each) => [each.name, each.notes ?? '']));
  return {
    receivers: chosen.flatMap((each) => addresses.get(each) ?? []),
    addresses,
    members: members.map((each) => each.name),
    relayReceivers: new Map(),
    keys: new Map(
      members.flatMap((each) => (each.signingKey ? [[each.name, each.signingKey] as const] : [])),
    ),
  };
}

function perform(
  context: TaskContext,
  socket: dgram.Socket,
  address: string,
  command: Command,
): void {
  switch (command.kind) {
    case 'listen':
      listen(context, socket, address);
      return;
    case 'close':
      socket.close();
      return;
    case 'send': {
      const bytes = datagram.encode(command.update, command.key);
      command.receivers.forEach((receiver) => sendDatagram(context, socket, receiver, bytes));
      return;
    }
    case 'open':
      receive(context, command);
      return;
    default:
      core.results.assertNever(command);
  }
}

function listen({ self, record }: TaskContext, socket: dgram.Socket, address: string): void {
  const { host, port } = core.settings.address.split(address);
  socket.on('message', (bytes) => self.send({ type: 'peer-updates.received', bytes }));
  socket.on('error', (error) =>
    record({ name: 'dependencyLost', details: { dependency: 'peers', reason: error.message } }),
  );
  socket.bind(port, host, () =>
    record({ name: 'instanceListening', details: { peerNotes: address } }),
  );
}

/**
 * Counts a failed send and does not retry it: an unreachable peer is sent a snapshot half a
 * second later.
 */
function sendDatagram(context: TaskContext, socket: dgram.Socket, to: string, bytes: Buffer): void {
  const { host, port } = core.settings.address.split(to);
  socket.send(bytes, port, host, (error) => countDatagram(context, error ? 'unsent' : 'sent'));
}

function receive(context: TaskContext, { bytes, keys }: Extract<Command, { kind: 'open' }>): void {
  const update = datagram.decode(bytes, (from) => keys.get(from));
  countDatagram(context, update?.kind ?? 'rejected');
  if (update) deliver(context, update);
}

function deliver({ send: sendMessage }: TaskContext, update: core.messages.PeerUpdate): void {
  switch (update.kind) {
    case 'work':
      sendMessage('fleet', { type: 'fleet.peer-update', update: update.update });
      return;
    case 'store':
      sendMessage('fleet', {
        type: 'fleet.store-changed',
        store: update.store,
        update: update.update,
      });
      sendMessage('contextStores', { type: 'context-stores.relayed-by-peer', store: update.store });
      return;
    default:
      core.results.assertNever(update);
  }
}

function countDatagram({ send: sendMessage }: TaskContext, label: string): void {
  sendMessage('metrics', { type: 'metrics.count', name: 'peers.notes', by: 1, label });
}
