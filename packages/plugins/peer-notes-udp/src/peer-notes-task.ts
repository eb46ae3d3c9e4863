/**
 * The task that owns the socket on which instances tell each other of their work. Datagrams fit: a
 * lost note is made up for by the next, and waiting for an old one would be of no use.
 */
import * as dgram from 'node:dgram';

import * as core from '@medlarweir/core';

import * as datagram from './datagram.js';

type Correspondent = core.messages.PeerEndpoint;
type Message = core.messages.PeerUpdatesMessage | { type: 'peer-notes.received'; bytes: Buffer };
type State = {
  /** Addresses of the members that are told of the own work. */
  receivers: readonly string[];
  addresses: ReadonlyMap<string, string>;
  members: readonly string[];
  keys: ReadonlyMap<string, string>;
  /** Addresses that are told of each store, as found for the present members. */
  listeners: ReadonlyMap<string, readonly string[]>;
};
type Command =
  | { kind: 'listen' }
  | { kind: 'close' }
  | {
      kind: 'send';
      note: core.messages.PeerUpdate;
      key: string;
      receivers: readonly string[];
    }
  | { kind: 'open'; bytes: Buffer; keys: State['keys'] };
type Step = core.kernel.Step<State, Command>;
type Settings = core.settings.gateway.GatewaySettings;
type Surroundings = core.kernel.TaskContext<Message, Settings>;

/** Members that are told. Four notes a second of 150 bytes keep to 10 KB/s; see the design's size. */
const MAX_RECEIVERS = 16;
/** Changes in one note, so that it fits into a datagram. */
const MAX_CHANGES = 25;

export function definition(
  address: string,
): core.kernel.TaskDefinition<State, Message, Command, Settings> {
  return {
    name: 'peerNotes',
    create: (surroundings) => {
      const { name, dataCentre } = surroundings.settings;
      const socket = dgram.createSocket('udp4');
      return {
        initial: correspondence(name, dataCentre, []),
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
      return { state: correspondence(name, dataCentre, message.members), commands: [] };
    case 'peer-updates.publish-work': {
      const note = { kind: 'work' as const, note: message.note };
      return { state, commands: sendTo(state, name, state.receivers, [note]) };
    }
    case 'peer-updates.relay-store':
      return relay(state, name, message);
    case 'peer-notes.received':
      return { state, commands: [{ kind: 'open', bytes: message.bytes, keys: state.keys }] };
    default:
      return core.results.assertNever(message);
  }
}

function sendTo(
  { keys }: State,
  name: string,
  receivers: readonly string[],
  notes: readonly core.messages.PeerUpdate[],
): readonly Command[] {
  const key = keys.get(name);
  if (key === undefined || receivers.length === 0) return [];
  return notes.map((note) => ({ kind: 'send', note, key, receivers }));
}

/** Tells the instances that do not read the store; at least one note, which shows that it answers. */
function relay(
  state: State,
  name: string,
  { store, news }: Extract<Message, { type: 'peer-updates.relay-store' }>,
): Step {
  const key = `${store.name} ${store.maxReaders}`;
  const receivers = state.listeners.get(key) ?? listenersOf(state, name, store);
  const pages = Math.max(1, Math.ceil(news.changes.length / MAX_CHANGES));
  const notes = Array.from({ length: pages }, (_, at): core.messages.PeerUpdate => {
    const changes = news.changes.slice(at * MAX_CHANGES, (at + 1) * MAX_CHANGES);
    return { kind: 'store', from: name, store: store.name, news: { ...news, changes } };
  });
  return {
    state: { ...state, listeners: new Map(state.listeners).set(key, receivers) },
    commands: sendTo(state, name, receivers, notes),
  };
}

function listenersOf(
  { addresses, members }: State,
  name: string,
  store: core.sharedContext.eventReaders.Store,
): readonly string[] {
  const listeners = core.sharedContext.eventReaders.relayTargets(name, store, members);
  return listeners.flatMap((each) => addresses.get(each) ?? []);
}

/** Where there are too many members, those of the own data centre come first. */
function correspondence(
  name: string,
  dataCentre: string,
  members: readonly Correspondent[],
): State {
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
    listeners: new Map(),
    keys: new Map(
      members.flatMap((each) => (each.signingKey ? [[each.name, each.signingKey] as const] : [])),
    ),
  };
}

function perform(
  surroundings: Surroundings,
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
      const bytes = datagram.encode(command.note, command.key);
      command.receivers.forEach((receiver) => send(surroundings, socket, receiver, bytes));
      return;
    }
    case 'open':
      open(surroundings, command);
      return;
    default:
      core.results.assertNever(command);
  }
}

function listen({ self, record }: Surroundings, socket: dgram.Socket, address: string): void {
  const { host, port } = core.settings.address.split(address);
  socket.on('message', (bytes) => self.send({ type: 'peer-notes.received', bytes }));
  socket.on('error', (error) =>
    record({ name: 'dependencyLost', details: { dependency: 'peers', reason: error.message } }),
  );
  socket.bind(port, host, () =>
    record({ name: 'instanceListening', details: { peerNotes: address } }),
  );
}

/** A peer that cannot be reached is told again half a second later; only the count is kept. */
function send(surroundings: Surroundings, socket: dgram.Socket, to: string, bytes: Buffer): void {
  const { host, port } = core.settings.address.split(to);
  socket.send(bytes, port, host, (error) => count(surroundings, error ? 'unsent' : 'sent'));
}

function open(
  surroundings: Surroundings,
  { bytes, keys }: Extract<Command, { kind: 'open' }>,
): void {
  const note = datagram.decode(bytes, (from) => keys.get(from));
  count(surroundings, note?.kind ?? 'rejected');
  if (note) deliver(surroundings, note);
}

function deliver({ send: tell }: Surroundings, note: core.messages.PeerUpdate): void {
  switch (note.kind) {
    case 'work':
      tell('fleet', { type: 'fleet.peer-update', note: note.note });
      return;
    case 'store':
      tell('fleet', { type: 'fleet.store-changed', store: note.store, news: note.news });
      tell('contextStores', { type: 'context-stores.relayed-by-peer', store: note.store });
      return;
    default:
      core.results.assertNever(note);
  }
}

function count({ send: tell }: Surroundings, label: string): void {
  tell('metrics', { type: 'metrics.count', name: 'peers.notes', by: 1, label });
}
