/**
 * The task that owns the server and the clients for messages between this instance and its peers.
 */
import * as crypto from 'node:crypto';
import type * as http from 'node:http';
import type * as net from 'node:net';

import * as core from '@medlarweir/core';
import * as processMemory from '@medlarweir/process-memory';
import * as standalone from '@trpc/server/adapters/standalone';

import * as client from './client.js';
import * as router from './router.js';
import * as peersServer from './server.js';

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
  create: (context) => {
    const sockets: Sockets = { servers: new Set(), clients: new Map() };
    return {
      initial: { members: [], seeds: context.settings.seeds ?? [], ownAddress: '' },
      decide,
      perform: (command) => perform(context, sockets, command),
      dump: ({ members }) => ({ members }),
    };
  },
};

type Sockets = { servers: Set<peersServer.Server>; clients: Map<string, client.Client> };

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

type Recipients = readonly string[] | 'all' | 'seeds';

function addressMessage(state: State, to: Recipients, message: core.messages.GossipMessage): Step {
  const named = state.members
    .filter(({ name }) => to === 'all' || to.includes(name))
    .map(({ peers }) => peers);
  const addresses = to === 'seeds' ? state.seeds : named;
  const addressed = withReplyAddress(state, message);
  return {
    state,
    commands: addresses.map((address) => ({ kind: 'notify', address, message: addressed })),
  };
}

/** Adds this instance's address to a configuration request, so that the recipient can reply. */
function withReplyAddress(
  { ownAddress }: State,
  message: core.messages.GossipMessage,
): core.messages.GossipMessage {
  return message.kind === 'configuration-request' ? { ...message, address: ownAddress } : message;
}

function perform(context: TaskContext, sockets: Sockets, command: Command): void {
  switch (command.kind) {
    case 'listen':
      sockets.servers.add(listen(context));
      return;
    case 'close':
      sockets.servers.forEach(({ connections }) => {
        connections.stop();
        connections.closeAll();
      });
      return;
    case 'notify':
      void send(context, sockets, command.address, command.message);
      return;
    case 'deliver':
      deliver(context, command.message);
      return;
    case 'record-listening':
      context.record({ name: 'instanceListening', details: { peers: command.address } });
      return;
    default:
      core.results.assertNever(command);
  }
}

function listen(context: TaskContext): peersServer.Server {
  const { settings, self, record } = context;
  const keys = [settings.deploymentKey, settings.otherDeploymentKey].filter(
    (key) => key !== undefined,
  );
  const isAuthenticated = ({ headers }: http.IncomingMessage) =>
    hasAcceptedKey(headers.authorization ?? '', keys);
  const handle = standalone.createHTTPHandler({
    router: router.createRouter({
      onGossipMessage: (received) => self.send({ type: 'peers.received', message: received }),
      dump: () => context.dump(),
    }),
    createContext: ({ req }) => ({ isAuthenticated: isAuthenticated(req) }),
  });
  const opened = peersServer.create({
    isAuthenticated,
    handle,
    onDropped: (dropped) =>
      record({ name: 'connectionsDropped', details: { address: 'peers', ...dropped } }),
    collector: processMemory.collector.create({
      watermarks: processMemory.division.ofProcess(settings.memoryMb).watermarks,
      onCollected: (label) =>
        context.send('metrics', {
          type: 'metrics.count',
          name: 'memory.collections',
          by: 1,
          label,
        }),
    }),
  });
  const { server } = opened;
  server.on('listening', () => {
    const bound = server.address() as net.AddressInfo;
    self.send({ type: 'peers.listening', address: `${bound.address}:${bound.port}` });
  });
  core.kernel.listen(server, settings.peers, context);
  return opened;
}

/** Compares SHA-256 digests with every key in constant time. */
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
  message: core.messages.GossipMessage,
): Promise<void> {
  const found = clients.get(address) ?? client.create(address, settings.deploymentKey);
  clients.set(address, found);
  try {
    await found.notify.mutate(message);
  } catch {
    // Messages carry soft state: the next message, or the platform, makes up for a lost one.
  }
}

function deliver(context: TaskContext, message: core.messages.GossipMessage): void {
  switch (message.kind) {
    case 'configuration':
      context.send('configuration', {
        type: 'configuration.relayed',
        configuration: message.configuration,
      });
      return;
    case 'configuration-changes':
      context.send('configuration', {
        type: 'configuration.changes-relayed',
        changes: message.changes,
      });
      return;
    case 'configuration-request':
      context.send('configuration', {
        type: 'configuration.requested',
        address: message.address,
        generation: message.generation,
      });
      return;
    case 'heartbeat':
      context.send('membership', { type: 'membership.heartbeat-received', heartbeat: message });
      return;
    case 'digest':
      context.send(message.for, {
        type: 'peers.digest-received',
        from: message.from,
        digest: message.digest,
      });
      return;
    default:
      core.results.assertNever(message);
  }
}
