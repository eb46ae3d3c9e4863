/**
 * The task that owns the socket on which instances tell each other of their work. Datagrams fit: a
 * lost note is made up for by the next, and waiting for an old one would be of no use.
 */
import * as dgram from 'node:dgram';

import * as core from '@medlarweir/core';

import * as datagram from './datagram.js';

type PeerEndpoint = core.messages.PeerEndpoint;
type Message = core.messages.PeerUpdatesMessage | { type: 'peer-updates.received'; bytes: Buffer };
type State = {
  /** Addresses of the members that are told of the own work. */
  receivers: readonly string[];
  addresses: ReadonlyMap<string, string>;
  members: readonly string[];
  keys: ReadonlyMap<string, string>;
  /** Addresses that are told of each store, as found for the present members. */
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

/** Members that are told. Four notes a second of 150 bytes keep to 10 KB/s; see the design's size. */
const MAX_RECEIVERS = 16;
/** Changes in one note, so that it fits into a datagram. */
const MAX_CHANGES_PER_DATAGRAM = 25;

export function definition(
  address: string,
): core.kernel.TaskDefinition<State, Message, Command, Settings> {
  return {
    name: 'peerNotes',
    create: (surroundings) => {
      const { name, dataCentre } = surroundings.settings;
      const socket = dgram.createSocket('udp4');
      return {
        initial: stateOf(name, dataCentre, []),
        decide: (state, message) => decide(name, dataCentre, state, message),
        perform: (command) => perform(surroundings, socket, address, command),
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
      const note = { kind: 'work' as const, update: message.update };
      return { state, commands: sendCommands(state, name, state.receivers, [note]) };
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
  notes: readonly core.messages.PeerUpdate[],
): readonly Command[] {
  const key = keys.get(name);
  if (key === undefined || receivers.length === 0) return [];
  return notes.map((update) => ({ kind: 'send', update, key, receivers }));
}

/** Tells the instances that do not read the store; at least one note, which shows that it answers. */
function relayStoreChanges(
  state: State,
  name: string,
  { store, update }: Extract<Message, { type: 'peer-updates.relay-store' }>,
): Step {
  const key = `${store.name} ${store.maxReaders}`;
  const receivers = state.relayReceivers.get(key) ?? findRelayReceivers(state, name, store);
  const pages = Math.max(1, Math.ceil(update.changes.length / MAX_CHANGES_PER_DATAGRAM));
  const notes = Array.from({ length: pages }, (_, at): core.messages.PeerUpdate => {
    const changes = update.changes.slice(
      at * MAX_CHANGES_PER_DATAGRAM,
      (at + 1) * MAX_CHANGES_PER_DATAGRAM,
    );
    return { kind: 'store', from: name, store: store.name, update: { ...update, changes } };
  });
  return {
    state: { ...state, relayReceivers: new Map(state.relayReceivers).set(key, receivers) },
    commands: sendCommands(state, name, receivers, notes),
  };
}

function findRelayReceivers(
  { addresses, members }: State,
  name: string,
  store: core.sharedContext.eventReaders.Store,
): readonly string[] {
  const listeners = core.sharedContext.eventReaders.relayTargets(name, store, members);
  return listeners.flatMap((each) => addresses.get(each) ?? []);
}

/** Where there are too many members, those of the own data centre come first. */
function stateOf(name: string, dataCentre: string, members: readonly PeerEndpoint[]): State {
  const others = members.filter((each) => each.name !== name && each.notes !== undefined);
  const near = others.filter((each) => each.dataCentre === dataCentre);
  const far = others.filter((each) => each.dataCentre !== dataCentre);
  const ranked = core.membership.rank(
    name,
    far.map((each) => each.name),
  );
  const chosen = [...near.map((each) => each.name), ...ranked].slice(0, MAX_RECEIVERS);
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
  surroundings: TaskContext,
  socket: dgram.Socket,
  address: string,
  command: Command,
): void {
  switch (command.kind) {
    case 'listen':
      listen(surroundings, socket, address);
      return;
    case 'close':
      socket.close();
      return;
    case 'send': {
      const bytes = datagram.encode(command.update, command.key);
      command.receivers.forEach((receiver) => send(surroundings, socket, receiver, bytes));
      return;
    }
    case 'open':
      receive(surroundings, command);
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

/** A peer that cannot be reached is told again half a second later; only the count is kept. */
function send(surroundings: TaskContext, socket: dgram.Socket, to: string, bytes: Buffer): void {
  const { host, port } = core.settings.address.split(to);
  socket.send(bytes, port, host, (error) => countDatagram(surroundings, error ? 'unsent' : 'sent'));
}

function receive(
  surroundings: TaskContext,
  { bytes, keys }: Extract<Command, { kind: 'open' }>,
): void {
  const note = datagram.decode(bytes, (from) => keys.get(from));
  countDatagram(surroundings, note?.kind ?? 'rejected');
  if (note) deliver(surroundings, note);
}

function deliver({ send: tell }: TaskContext, note: core.messages.PeerUpdate): void {
  switch (note.kind) {
    case 'work':
      tell('fleet', { type: 'fleet.peer-update', update: note.update });
      return;
    case 'store':
      tell('fleet', { type: 'fleet.store-changed', store: note.store, update: note.update });
      tell('contextStores', { type: 'context-stores.relayed-by-peer', store: note.store });
      return;
    default:
      core.results.assertNever(note);
  }
}

function countDatagram({ send: tell }: TaskContext, label: string): void {
  tell('metrics', { type: 'metrics.count', name: 'peers.notes', by: 1, label });
}
