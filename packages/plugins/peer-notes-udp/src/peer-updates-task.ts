/**
 * Task that owns the UDP socket on which instances exchange updates about their work. Updates are
 * not retransmitted: the next one makes up for a lost one, and waiting for an old one has no use.
 */
import * as dgram from 'node:dgram';

import * as core from '@medlarweir/core';

import * as audiences from './audiences.js';
import * as canaryRows from './canary-rows.js';
import * as datagram from './datagram.js';
import * as quarantineRows from './quarantine-rows.js';

type PeerEndpoint = core.messages.PeerEndpoint;
type Message = core.messages.PeerUpdatesMessage | { type: 'peer-updates.received'; bytes: Buffer };
type State = {
  members: readonly PeerEndpoint[];
  /** Names of the members that receive updates about work, by scope. */
  audiences: core.messages.Audiences;
  addresses: ReadonlyMap<string, string>;
  keys: ReadonlyMap<string, string>;
  /** Updates about quarantined parts that went to some members only. */
  rounds: number;
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

export function definition(
  address: string,
): core.kernel.TaskDefinition<State, Message, Command, Settings> {
  return {
    name: 'peerNotes',
    create: (context) => {
      const { name, dataCentre } = context.settings;
      const socket = dgram.createSocket('udp4');
      return {
        initial: {
          members: [],
          audiences: { own: [], group: [], fleet: [] },
          addresses: new Map(),
          keys: new Map(),
          rounds: 0,
        },
        decide: (state, message) => decide(name, dataCentre, state, message),
        perform: (command) => perform(context, socket, address, command),
        dump: (state) => ({ audiences: state.audiences }),
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
      return { state: withMembers(state, message.members), commands: [] };
    case 'peer-updates.audiences-changed':
      return { state: { ...state, audiences: message.audiences }, commands: [] };
    case 'peer-updates.publish-work': {
      const { update } = message;
      const audience = audiences.ofWork(state, name, dataCentre, update.scope);
      return { state, commands: sendCommands(state, name, { kind: 'work', update }, audience) };
    }
    case 'peer-updates.publish-silence': {
      const { update } = message;
      const audience = state.audiences[update.scope];
      return { state, commands: sendCommands(state, name, { kind: 'silence', update }, audience) };
    }
    case 'peer-updates.publish-speeds': {
      const { update } = message;
      const audience = audiences.ofWork(state, name, dataCentre, update.scope);
      return { state, commands: sendCommands(state, name, { kind: 'speeds', update }, audience) };
    }
    case 'peer-updates.publish-usage': {
      const { update } = message;
      const audience = audiences.ofWork(state, name, dataCentre, update.scope);
      return { state, commands: sendCommands(state, name, { kind: 'usage', update }, audience) };
    }
    case 'peer-updates.publish-quarantine':
      return publishQuarantine(name, state, message);
    case 'peer-updates.publish-canary': {
      const audience = audiences.ofWork(state, name, dataCentre, message.update.scope);
      const commands = canaryRows
        .split(message.update)
        .flatMap((update) => sendCommands(state, name, { kind: 'canary', update }, audience));
      return { state, commands };
    }
    case 'peer-updates.send':
      return { state, commands: sendCommands(state, name, message.update, message.to) };
    case 'peer-updates.received':
      return { state, commands: [{ kind: 'open', bytes: message.bytes, keys: state.keys }] };
    default:
      return core.results.assertNever(message);
  }
}

function publishQuarantine(
  name: string,
  state: State,
  { update, audience }: Extract<Message, { type: 'peer-updates.publish-quarantine' }>,
): Step {
  const receivers = audiences.ofQuarantine(state, name, audience);
  const rounds = audience === 'some' ? state.rounds + 1 : state.rounds;
  const commands = quarantineRows
    .split(update)
    .flatMap((piece) =>
      sendCommands(state, name, { kind: 'quarantine', update: piece }, receivers),
    );
  return { state: { ...state, rounds }, commands };
}

function sendCommands(
  { keys, addresses }: State,
  name: string,
  update: core.messages.PeerUpdate,
  names: readonly string[],
): readonly Command[] {
  const key = keys.get(name);
  const receivers = names.flatMap((each) => addresses.get(each) ?? []);
  return key === undefined || receivers.length === 0
    ? []
    : [{ kind: 'send', update, key, receivers }];
}

function withMembers(state: State, members: readonly PeerEndpoint[]): State {
  const pairs = <Value>(valueOf: (member: PeerEndpoint) => Value | undefined) =>
    new Map(
      members.flatMap((each) => {
        const value = valueOf(each);
        return value === undefined ? [] : [[each.name, value] as const];
      }),
    );
  return {
    ...state,
    members,
    addresses: pairs(({ notes }) => notes),
    keys: pairs(({ signingKey }) => signingKey),
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

function listen(context: TaskContext, socket: dgram.Socket, address: string): void {
  const { self, record } = context;
  const { host, port } = core.settings.address.split(address);
  socket.on('message', (bytes) => self.send({ type: 'peer-updates.received', bytes }));
  core.kernel.failUnlessListening(socket, 'peers', context);
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

function deliver({ send }: TaskContext, update: core.messages.PeerUpdate): void {
  switch (update.kind) {
    case 'work':
      send('fleet', { type: 'fleet.peer-update', update: update.update });
      return;
    case 'silence':
      send('fleet', { type: 'fleet.silence-update', update: update.update });
      return;
    case 'speeds':
      send('fleet', { type: 'fleet.speed-update', update: update.update });
      return;
    case 'usage':
      send('fleet', { type: 'fleet.usage-update', update: update.update });
      return;
    case 'quarantine':
      send('fleet', { type: 'fleet.quarantine-update', update: update.update });
      return;
    case 'canary':
      send('canary', { type: 'canary.update-received', update: update.update });
      return;
    case 'stores':
      update.updates.forEach(({ store, update: storeUpdate }) =>
        send('fleet', { type: 'fleet.store-changed', store, update: storeUpdate }),
      );
      return;
    case 'question':
      send('readers', { type: 'readers.asked', from: update.from, question: update.question });
      return;
    case 'answer': {
      const { from, question, positions } = update;
      send('readers', { type: 'readers.answered', from, question, positions });
      return;
    }
    case 'changes': {
      const { from, changes } = update;
      send('readers', { type: 'readers.changes-received', from, changes });
      return;
    }
    default:
      core.results.assertNever(update);
  }
}

function countDatagram({ send }: TaskContext, label: string): void {
  send('metrics', { type: 'metrics.count', name: 'peers.notes', by: 1, label });
}
