/**
 * The task that owns the socket on which instances tell each other of their work. Datagrams fit: a
 * lost note is made up for by the next, and waiting for an old one would be of no use.
 */
import * as dgram from 'node:dgram';

import * as core from '@medlarweir/core';

import * as datagram from './datagram.js';

type Correspondent = core.messages.Correspondent;
type Note = core.fleet.peerWork.Note;
type Message = core.messages.PeerNotesMessage | { type: 'peer-notes.received'; bytes: Buffer };
type State = {
  /** Other members that take notes. */
  receivers: readonly string[];
  keys: ReadonlyMap<string, string>;
};
type Command =
  | { kind: 'listen' }
  | { kind: 'close' }
  | { kind: 'send'; note: Note; key: string; receivers: readonly string[] }
  | { kind: 'open'; bytes: Buffer; keys: State['keys'] };
type Step = core.kernel.Step<State, Command>;
type Settings = core.settings.gateway.GatewaySettings;
type Surroundings = core.kernel.Surroundings<Message, Settings>;

/**
 * Members that are told. At 25 notes a second of 150 bytes to each this stays near the 10 KB/s that
 * an instance may spend on control in a large deployment, where most notes are much rarer.
 */
const MAX_RECEIVERS = 30;

export function definition(
  address: string,
): core.kernel.TaskDefinition<State, Message, Command, Settings> {
  return {
    name: 'peerNotes',
    create: (surroundings) => {
      const { name, dataCentre } = surroundings.settings;
      const socket = dgram.createSocket('udp4');
      return {
        initial: { receivers: [], keys: new Map() },
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
    case 'task.leave':
      return { state, commands: [] };
    case 'peer-notes.members':
      return { state: correspondence(name, dataCentre, message.members), commands: [] };
    case 'peer-notes.tell': {
      const key = state.keys.get(name);
      if (key === undefined || state.receivers.length === 0) return { state, commands: [] };
      const { receivers } = state;
      return { state, commands: [{ kind: 'send', note: message.note, key, receivers }] };
    }
    case 'peer-notes.received':
      return { state, commands: [{ kind: 'open', bytes: message.bytes, keys: state.keys }] };
    default:
      return core.results.never(message);
  }
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
    receivers: chosen.map((each) => addresses.get(each) ?? ''),
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
      core.results.never(command);
  }
}

function listen({ self, record }: Surroundings, socket: dgram.Socket, address: string): void {
  const [host = '', port = ''] = address.split(':');
  socket.on('message', (bytes) => self.send({ type: 'peer-notes.received', bytes }));
  socket.on('error', (error) =>
    record({ name: 'dependencyLost', details: { dependency: 'peers', reason: error.message } }),
  );
  socket.bind(Number(port), host, () =>
    record({ name: 'instanceListening', details: { peerNotes: address } }),
  );
}

/** A peer that cannot be reached is told again half a second later; only the count is kept. */
function send(surroundings: Surroundings, socket: dgram.Socket, to: string, bytes: Buffer): void {
  const [host = '', port = ''] = to.split(':');
  socket.send(bytes, Number(port), host, (error) => count(surroundings, error ? 'unsent' : 'sent'));
}

function open(
  surroundings: Surroundings,
  { bytes, keys }: Extract<Command, { kind: 'open' }>,
): void {
  const note = datagram.decode(bytes, (from) => keys.get(from));
  count(surroundings, note ? 'received' : 'rejected');
  if (note) surroundings.send('fleet', { type: 'fleet.peer-note', note });
}

function count({ send: tell }: Surroundings, label: string): void {
  tell('metrics', { type: 'metrics.count', name: 'peers.notes', by: 1, label });
}
