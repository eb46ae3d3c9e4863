/** The task that owns the load view of the upstreams and the cache directory. */
import * as core from '@medlarweir/core';

type Message = core.messages.RoutingMessage;
type State = core.routing.State;
type Command = core.routing.Command;

export const definition: core.kernel.TaskDefinition<State, Message, Command> = {
  name: 'routing',
  create: (context) => ({
    initial: core.routing.initial(context.settings.name, context.settings.dataCentre),
    decide: core.routing.decide,
    perform: (command) => perform(context, command),
    dump,
  }),
};

function dump(state: State): unknown {
  const { directory } = state;
  return {
    placed: state.inFlightRequests.size,
    load: Object.fromEntries(state.load.upstreams),
    enginePieces: Object.fromEntries(
      [...directory.engines].map(([name, { pieces }]) => [name, pieces.size]),
    ),
    storePieces: Object.fromEntries(
      [...directory.stores].map(([name, { manifests }]) => [name, manifests.size]),
    ),
  };
}

function perform(context: core.kernel.TaskContext<Message>, command: Command): void {
  switch (command.kind) {
    case 'reply':
      command.replyTo.send(command.message);
      return;
    case 'start-export':
      context.send('upstreams', {
        type: 'upstreams.export',
        order: command.order,
        replyTo: context.self,
      });
      return;
    case 'start-import':
      context.send('upstreams', {
        type: 'upstreams.import',
        order: command.order,
        replyTo: context.self,
      });
      return;
    case 'cancel-import':
      context.send('upstreams', {
        type: 'upstreams.cancel-import',
        runId: command.runId,
        upstream: command.upstream,
      });
      context.record({ name: 'importCancelled', details: { runId: command.runId } });
      return;
    case 'reply-import':
      command.replyTo.send(command.message);
      return;
    case 'schedule-late-check':
      context.schedule('links', command.delayMs, { type: 'routing.check-imports' });
      return;
    case 'drop-piece':
      context.send('stores', { type: 'stores.drop-piece', manifest: command.manifest });
      return;
    case 'request-engine-snapshot':
      context.send('upstreams', {
        type: 'upstreams.request-snapshot',
        upstream: command.upstream,
      });
      return;
    case 'request-store-snapshot':
      context.send('stores', { type: 'stores.request-snapshot', store: command.store });
      return;
    case 'broadcast':
      context.send('peers', {
        type: 'peers.send',
        to: 'all',
        message: {
          kind: 'digest',
          for: 'routing',
          from: context.settings.name,
          digest: command.digest,
        },
      });
      return;
    case 'report-capacity':
      command.services.forEach((each) =>
        context.send('admission', { type: 'admission.capacity-changed', ...each }),
      );
      return;
    case 'request-cold-rights':
      context.send('coldStarts', {
        type: 'cold-starts.set-cold-upstreams',
        upstreams: command.upstreams,
      });
      return;
    case 'schedule-tick':
      context.schedule('tick', core.routing.TICK_MS, { type: 'routing.tick' });
      return;
    case 'record-exported':
      context.record({ name: 'piecesExported', details: { pieces: command.pieces } });
      return;
    default:
      core.results.assertNever(command);
  }
}
