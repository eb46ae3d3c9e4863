/** The task that owns the connections between this instance and its peers. */
import * as crypto from 'node:crypto';
import type * as http from 'node:http';
import type * as net from 'node:net';

import * as core from '@medlarweir/core';
import * as standalone from '@trpc/server/adapters/standalone';

import * as client from './client.js';
import * as router from './router.js';

type Message =
  | core.messages.PeersMessage
  | { type: 'peers.listening'; address: string }
  | { type: 'peers.received'; message: core.messages.GossipMessage };
type State = {
  members: readonly core.messages.Member[];
  seeds: readonly string[];
  ownAddress: string;
};
type Command =
  | { kind: 'listen' }
  | { kind: 'close' }
  | { kind: 'notify'; address: string; message: core.messages.GossipMessage }
  | { kind: 'deliver'; message: core.messages.GossipMessage }
  | { kind: 'record-listening'; address: string };
type Step = core.kernel.Step<State, Command>;
type TaskContext = core.kernel.TaskContext<Message>;

export const definition: core.kernel.TaskDefinition<State, Message, Command> = {
  name: 'peers',
  create: (surroundings) => {
    const sockets: Sockets = { servers: new Set(), clients: new Map() };
    return {
      initial: { members: [], seeds: surroundings.settings.seeds ?? [], ownAddress: '' },
      decide,
      perform: (command) => perform(surroundings, sockets, command),
      dump: ({ members }) => ({ members }),
    };
  },
};

type Sockets = { servers: Set<http.Server>; clients: Map<string, client.Client> };

function decide(state: State, message: Message): Step {
  switch (message.type) {
    case 'task.start':
      return { state, commands: [{ kind: 'listen' }] };
    case 'peers.listening':
      return {
        state: { ...state, ownAddress: message.address },
        commands: [{ kind: 'record-listening', address: message.address }],
      };
    case 'membership.changed':
      return { state: { ...state, members: message.members }, commands: [] };
    case 'peers.send':
      return addressMessage(state, message.to, message.message);
    case 'peers.reply':
      return {
        state,
        commands: [{ kind: 'notify', address: message.address, message: message.message }],
      };
    case 'peers.received':
      return { state, commands: [{ kind: 'deliver', message: message.message }] };
    case 'task.stop':
      return { state, commands: [{ kind: 'close' }] };
    case 'task.drain':
      return { state, commands: [] };
    default:
      return core.results.assertNever(message);
  }
}

type Receivers = readonly string[] | 'all' | 'seeds';

function addressMessage(state: State, to: Receivers, message: core.messages.GossipMessage): Step {
  const named = state.members
    .filter(({ name }) => to === 'all' || to.includes(name))
    .map(({ peers }) => peers);
  const addresses = to === 'seeds' ? state.seeds : named;
  const signed = withReplyAddress(state, message);
  return {
    state,
    commands: addresses.map((address) => ({ kind: 'notify', address, message: signed })),
  };
}

/** A request names where its answer goes. */
function withReplyAddress(
  { ownAddress }: State,
  note: core.messages.GossipMessage,
): core.messages.GossipMessage {
  return note.kind === 'configuration-request' ? { ...note, address: ownAddress } : note;
}

function perform(surroundings: TaskContext, sockets: Sockets, command: Command): void {
  switch (command.kind) {
    case 'listen':
      sockets.servers.add(listen(surroundings));
      return;
    case 'close':
      sockets.servers.forEach((server) => {
        server.close();
        server.closeAllConnections();
      });
      return;
    case 'notify':
      void send(surroundings, sockets, command.address, command.message);
      return;
    case 'deliver':
      deliver(surroundings, command.message);
      return;
    case 'record-listening':
      surroundings.record({ name: 'instanceListening', details: { peers: command.address } });
      return;
    default:
      core.results.assertNever(command);
  }
}

function listen(surroundings: TaskContext): http.Server {
  const { settings, self } = surroundings;
  const { host, port } = core.settings.address.split(settings.peers);
  const server = standalone.createHTTPServer({
    router: router.createRouter({
      onGossipMessage: (received) => self.send({ type: 'peers.received', message: received }),
      dump: () => surroundings.dump(),
    }),
    createContext: ({ req }) => ({
      isAuthenticated: hasAcceptedKey(req.headers.authorization ?? '', [
        settings.deploymentKey,
        ...(settings.otherDeploymentKey === undefined ? [] : [settings.otherDeploymentKey]),
      ]),
    }),
  });
  server.listen(port, host, () => {
    const bound = server.address() as net.AddressInfo;
    self.send({ type: 'peers.listening', address: `${bound.address}:${bound.port}` });
  });
  return server;
}

/** Compares with every key in constant time. */
function hasAcceptedKey(authorization: string, keys: readonly string[]): boolean {
  const digest = (text: string) => crypto.createHash('sha256').update(text).digest();
  const given = digest(authorization);
  const matches = keys.filter((key) => crypto.timingSafeEqual(given, digest(`Bearer ${key}`)));
  return matches.length > 0;
}

async function send(
  { settings }: TaskContext,
  { clients }: Sockets,
  address: string,
  note: core.messages.GossipMessage,
): Promise<void> {
  const found = clients.get(address) ?? client.create(address, settings.deploymentKey);
  clients.set(address, found);
  try {
    await found.notify.mutate(note);
  } catch {
    // Notes are soft state: the next one, or the platform, makes up for a lost one.
  }
}

function deliver(surroundings: TaskContext, note: core.messages.GossipMessage): void {
  switch (note.kind) {
    case 'configuration':
      surroundings.send('configuration', {
        type: 'configuration.relayed',
        configuration: note.configuration,
      });
      return;
    case 'configuration-changes':
      surroundings.send('configuration', {
        type: 'configuration.changes-relayed',
        changes: note.changes,
      });
      return;
    case 'configuration-request':
      surroundings.send('configuration', {
        type: 'configuration.requested',
        address: note.address,
        generation: note.generation,
      });
      return;
    case 'heartbeat':
      surroundings.send('membership', { type: 'membership.heartbeat-received', heartbeat: note });
      return;
    case 'digest':
      surroundings.send(note.for, {
        type: 'peers.digest-received',
        from: note.from,
        digest: note.digest,
      });
      return;
    default:
      core.results.assertNever(note);
  }
}
