/** Task that owns the routing table and starts one short-lived task per request. */
import * as core from '@medlarweir/core';

import * as requestTask from './request-task.js';

type Message = core.messages.GatewayMessage;
type State = core.gateway.decide.State;
type Command = core.gateway.decide.Command;
type Settings = core.settings.gateway.GatewaySettings;
type TaskContext = core.kernel.TaskContext<Message, Settings>;

export const definition: core.kernel.TaskDefinition<State, Message, Command, Settings> = {
  name: 'gateway',
  create: (context) => ({
    initial: core.gateway.decide.initial(context.settings, core.kernel.readClock()),
    decide: core.gateway.decide.decide,
    perform: (command) => perform(context, command),
    dump,
  }),
};

function dump({ known, isReady, instances, drain }: State): unknown {
  return {
    tableVersion: known.index?.table.version,
    confirmations: known.confirmations,
    isReady,
    instances,
    isLeaving: drain.kind === 'draining',
  };
}

function perform(context: TaskContext, command: Command): void {
  const { send, record } = context;
  switch (command.kind) {
    case 'spawn':
      command.onBegun(context.spawn(requestTask.definition(command.routed, command.caller)));
      return;
    case 'refuse':
      command.caller.send(command.reply);
      return;
    case 'record-refused': {
      const { requestId, host, path } = command.request;
      const { ageMs, code } = command;
      record({
        name: 'requestDenied',
        requestId,
        details: { code, host, path, tableAgeMs: ageMs },
      });
      send('metrics', { type: 'metrics.count', name: 'gateway.denied', by: 1, label: code });
      return;
    }
    case 'answer-retry':
      command.replyTo.send({ type: 'retry-budget.decided', isGranted: command.isGranted });
      return;
    case 'adopt':
      publishTable(context, command);
      return;
    case 'readiness': {
      const { isReady, reason } = command;
      send('front', { type: 'front.readiness-changed', isReady, reason });
      record({ name: 'readinessChanged', details: { isReady, reason } });
      return;
    }
    case 'schedule-tick':
      context.schedule('tick', core.gateway.decide.TICK_MS, { type: 'gateway.tick' });
      return;
    default:
      core.results.assertNever(command);
  }
}

function publishTable(
  { send, record }: TaskContext,
  { table, previous = -1 }: Extract<Command, { kind: 'adopt' }>,
): void {
  send('fleet', { type: 'fleet.table-adopted', table });
  send('front', { type: 'front.limits-changed', limits: table.limits });
  const longestStreamMs = core.gateway.routes.longestStreamMs(table);
  send('streamOrigins', { type: 'stream-origins.routes-adopted', longestStreamMs });
  send('contextStores', { type: 'context-stores.set-stores', stores: table.contextStores });
  record({
    name: 'tableAdopted',
    details: { version: table.version, previous, routes: table.routes.length },
  });
}
