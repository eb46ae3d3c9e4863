/** Task that keeps and finds the software versions at which streams began. */
import * as core from '@medlarweir/core';

type Message = core.messages.StreamOriginsMessage;
type State = core.streamOrigins.state.State;
type Command = core.streamOrigins.Command;
type Settings = core.settings.gateway.GatewaySettings;
type TaskContext = core.kernel.TaskContext<Message, Settings>;

const { KIND } = core.streamOrigins.record;
/** Value in the journal before the first list of upstreams. */
const NEVER_LISTED_MS = -1;

export const definition: core.kernel.TaskDefinition<State, Message, Command, Settings> = {
  name: 'streamOrigins',
  create: (context) => ({
    initial: core.streamOrigins.initial(context.settings.name, context.settings.isFirstStart),
    decide: core.streamOrigins.decide,
    perform: (command) => perform(context, command),
    dump,
  }),
};

function dump({ serving, streams, recorded, asks, writing }: State): unknown {
  const versions = [...serving].map(([service, each]) => [service, [...each.keys()]] as const);
  return {
    versions: Object.fromEntries(versions),
    streams: streams.size,
    recorded: recorded.size,
    asks: asks.length,
    objectVersion: writing.objectVersion,
  };
}

function perform(context: TaskContext, command: Command): void {
  const { self, send, record, settings, incarnation } = context;
  switch (command.kind) {
    case 'list':
      send('platform', {
        type: 'platform.list',
        kind: KIND,
        timeoutMs: command.timeoutMs,
        replyTo: self,
      });
      return;
    case 'write': {
      const { content: value, expectedVersion } = command;
      send('platform', {
        type: 'platform.write',
        correlationId: 'streams',
        key: `${KIND}/${settings.name}`,
        expectedVersion,
        value,
        writeId: `${incarnation}-${value.writtenAtMs}`,
        replyTo: self,
      });
      return;
    }
    case 'answer': {
      const { ask, origin, basis } = command;
      const { requestId, stream } = ask;
      const { listAgeMs = NEVER_LISTED_MS, ...known } = basis;
      const details = { stream, ...origin, listAgeMs, ...known };
      record({ name: 'streamOrigin', requestId, details });
      ask.replyTo.send({ type: 'stream-origins.found', origin });
      return;
    }
    case 'tell-beginnings':
      send('fleet', { type: 'fleet.beginnings-changed', beginnings: command.beginnings });
      return;
    case 'record-versions': {
      const { service, versions } = command;
      record({ name: 'softwareVersions', details: { service, versions } });
      return;
    }
    case 'wake':
      context.schedule('wake', command.afterMs, { type: 'stream-origins.wake' });
      return;
    default:
      core.results.assertNever(command);
  }
}
