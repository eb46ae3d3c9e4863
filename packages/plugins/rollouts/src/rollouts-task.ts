/** Task that holds the lease for sending rollout orders to upstreams. */
import * as core from '@medlarweir/core';

type Message = core.messages.RolloutsMessage;
type State = core.rollouts.State;
type Command = core.rollouts.Command;
type Settings = core.settings.gateway.GatewaySettings;
type TaskContext = core.kernel.TaskContext<Message, Settings>;

const LEASE_KEY = 'medlarweir-leases/orders';
/** The holder stops this long before its term ends; a contender waits a term and this long. */
const LEASE_MARGIN_MS = 300;

export const definition: core.kernel.TaskDefinition<State, Message, Command, Settings> = {
  name: 'rollouts',
  create: (context) => {
    const { settings, incarnation } = context;
    const leaseOptions = {
      ...core.leases.defaultOptions(LEASE_KEY, settings.name, incarnation),
      termMs: settings.leaseTermMs,
      marginMs: LEASE_MARGIN_MS,
    };
    return {
      initial: core.rollouts.initial(leaseOptions, settings.rolloutMs),
      decide: core.rollouts.decide,
      perform: (command) => perform(context, command),
      dump,
    };
  },
};

function dump({ lease, targets, pendingOrders }: State): unknown {
  return { phase: lease.phase.kind, named: Object.fromEntries(targets), errands: pendingOrders };
}

function perform(context: TaskContext, command: Command): void {
  const { self, send, record } = context;
  switch (command.kind) {
    case 'lease-read':
    case 'lease-write':
      send('platform', core.leases.toPlatform(command, self));
      return;
    case 'lease-wake':
      context.schedule('lease', command.afterMs, { type: 'rollouts.lease-tick' });
      return;
    case 'lease-acquired':
      record({ name: 'leaseAcquired', details: { lease: LEASE_KEY, fencing: command.fencing } });
      return;
    case 'lease-lost':
      record({ name: 'leaseLost', details: { lease: LEASE_KEY, fencing: command.fencing } });
      return;
    case 'request-report': {
      const { upstream, address, delayMs } = command;
      send('carrier', { type: 'carrier.query-status', upstream, address, delayMs });
      return;
    }
    case 'order':
      send('carrier', { type: 'carrier.send-order', order: command.order });
      return;
    case 'report-version': {
      const { upstream, model, version } = command;
      const report = {
        load: undefined,
        coldMs: undefined,
        version: { model, version },
        limitPerS: undefined,
        isLeaving: false,
        pauseMs: undefined,
      };
      send('fleet', {
        type: 'fleet.upstream-responded',
        upstream,
        requestId: undefined,
        selfReport: report,
      });
      return;
    }
    case 'free': {
      const { store, epoch, parts } = command.request;
      send('contextStores', { type: 'context-stores.free', request: command.request });
      record({ name: 'contextFreed', details: { store, epoch, parts: parts.length } });
      return;
    }
    case 'wake':
      context.schedule('wake', command.delayMs, { type: 'rollouts.tick' });
      return;
    case 'record-order': {
      const { upstream, text, fencing } = command;
      record({ name: 'upstreamOrder', details: { upstream, text, fencing } });
      return;
    }
    default:
      core.results.assertNever(command);
  }
}
