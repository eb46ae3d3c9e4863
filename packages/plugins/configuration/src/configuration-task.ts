/** Task that owns the current configuration. */
import * as core from '@medlarweir/core';

type Message = core.messages.ConfigurationMessage;
type State = core.configuration.State;
type Command = core.configuration.Command;

/** Tasks that receive each adopted configuration. */
const SUBSCRIBERS = [
  'admission',
  'callers',
  'claims',
  'coldStarts',
  'orders',
  'routing',
  'stores',
  'upstreams',
] as const;

export const definition: core.kernel.TaskDefinition<State, Message, Command> = {
  name: 'configuration',
  create: (context) => ({
    initial: core.configuration.initial(context.settings.name, context.settings.dataCentre),
    decide: core.configuration.decide,
    perform: (command) => perform(context, command),
    dump: ({ current, confirmedAtMs, confirmationStatus, isRelay, pendingHead }) => ({
      generation: current?.generation ?? null,
      confirmedAtMs: confirmedAtMs ?? null,
      confidence: confirmationStatus,
      isRelay,
      awaitedGeneration: pendingHead?.head.generation ?? null,
    }),
  }),
};

type TaskContext = core.kernel.TaskContext<Message>;

function perform(context: TaskContext, command: Command): void {
  const { send, self } = context;
  const prefix = core.configuration.heads.HEAD_KEY;
  switch (command.kind) {
    case 'watch':
      send('platform', { type: 'platform.watch', prefix, replyTo: self });
      return;
    case 'unwatch':
      send('platform', { type: 'platform.unwatch', prefix, replyTo: self });
      return;
    case 'read': {
      const correlationId = core.configuration.TICKETS[command.what];
      send('platform', {
        type: 'platform.read',
        correlationId,
        key: command.key,
        replyTo: self,
      });
      return;
    }
    case 'publish':
      SUBSCRIBERS.forEach((name) =>
        send(name, { type: 'configuration.adopted', configuration: command.configuration }),
      );
      return;
    case 'publish-confirmation-status':
      send('routing', {
        type: 'configuration.confirmation-status-changed',
        confirmationStatus: command.confirmationStatus,
      });
      recordEvent(context, 'configurationConfidence', { confidence: command.confirmationStatus });
      return;
    case 'relay-changes':
    case 'send-changes':
    case 'send-configuration':
    case 'request':
      performPeerCommand(context, command);
      return;
    case 'report': {
      const { generation, confirmedAtMs } = command;
      send('membership', { type: 'membership.configuration-confirmed', generation, confirmedAtMs });
      return;
    }
    case 'schedule-tick':
      context.schedule('tick', core.configuration.TICK_MS, { type: 'configuration.tick' });
      return;
    case 'record-adopted': {
      const { generation, source } = command;
      recordEvent(context, 'configurationAdopted', { generation, source });
      return;
    }
    case 'record-refused':
      recordEvent(context, 'configurationRefused', {
        failure: core.results.describe(command.failure),
      });
      return;
    default:
      core.results.assertNever(command);
  }
}

type PeerCommand = Extract<
  Command,
  { kind: 'relay-changes' | 'send-changes' | 'send-configuration' | 'request' }
>;

function performPeerCommand({ send }: TaskContext, command: PeerCommand): void {
  switch (command.kind) {
    case 'relay-changes': {
      const { to, changes } = command;
      send('peers', {
        type: 'peers.send',
        to,
        message: { kind: 'configuration-changes', changes },
      });
      return;
    }
    case 'send-changes': {
      const { address, changes } = command;
      const reply = { kind: 'configuration-changes', changes } as const;
      send('peers', { type: 'peers.reply', address, message: reply });
      return;
    }
    case 'send-configuration': {
      const { address, configuration } = command;
      const reply = { kind: 'configuration', configuration } as const;
      send('peers', { type: 'peers.reply', address, message: reply });
      return;
    }
    case 'request': {
      const { to, generation } = command;
      const request = { kind: 'configuration-request', generation, address: '' } as const;
      send('peers', { type: 'peers.send', to, message: request });
      return;
    }
    default:
      core.results.assertNever(command);
  }
}

function recordEvent(
  { record }: TaskContext,
  name: core.events.EventName,
  details: core.events.Event['details'],
): void {
  record({ name, details });
}
