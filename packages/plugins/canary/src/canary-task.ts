/** Task that takes the steps of canary releases while holding a lease. */
import * as core from '@medlarweir/core';

import * as releaseEvents from './release-events.js';

type Message = core.messages.CanaryMessage;
type State = core.canary.State;
type Command = core.canary.Command;
type Settings = core.settings.gateway.GatewaySettings;
type TaskContext = core.kernel.TaskContext<Message, Settings>;

const LEASE_KEY = 'medlarweir-leases/canary';
/** Objects that only this plug-in writes and reads. */
const PROGRESS_KIND = 'medlarweir-canary';
/** The holder stops this long before its term ends; a contender waits a term and this long. */
const LEASE_MARGIN_MS = 300;
const DEFAULT_ROLLBACK_MS = 5_000;

export function definition(
  exposureShare: number,
): core.kernel.TaskDefinition<State, Message, Command, Settings> {
  return {
    name: 'canary',
    create: (context) => {
      const { settings, incarnation } = context;
      const leaseOptions = {
        ...core.leases.defaultOptions(LEASE_KEY, settings.name, incarnation),
        termMs: settings.leaseTermMs,
        marginMs: LEASE_MARGIN_MS,
      };
      const { exposureSlack = 0, rollbackMs = DEFAULT_ROLLBACK_MS } = settings;
      const bounds = { exposureShare, exposureSlack, rollbackMs };
      return {
        initial: core.canary.initial(settings.name, leaseOptions, bounds),
        decide: core.canary.decide,
        perform: (command) => perform(context, command),
        dump,
      };
    },
  };
}

function dump({ lease, releases }: State): unknown {
  return {
    phase: lease.phase.kind,
    releases: [...releases.values()].map(({ order, step, isBad, isRemoved, tests }) => ({
      service: order.service,
      to: order.to,
      status: order.status?.state ?? '',
      step,
      isBad,
      isRemoved,
      finding: core.canary.sequential.find(tests).kind,
    })),
  };
}

function perform(context: TaskContext, command: Command): void {
  const { self, send, record } = context;
  switch (command.kind) {
    case 'lease-read':
    case 'lease-write':
      send('platform', core.leases.toPlatform(command, self));
      return;
    case 'lease-wake':
      context.schedule('lease', command.afterMs, { type: 'canary.lease-tick' });
      return;
    case 'lease-acquired':
      record({ name: 'leaseAcquired', details: { lease: LEASE_KEY, fencing: command.fencing } });
      return;
    case 'lease-lost':
      record({ name: 'leaseLost', details: { lease: LEASE_KEY, fencing: command.fencing } });
      return;
    case 'wake':
      context.schedule('wake', command.delayMs, { type: 'canary.tick' });
      return;
    case 'apply':
      send('fleet', { type: 'fleet.releases-changed', releases: command.releases });
      return;
    case 'publish':
      send('peerNotes', { type: 'peer-updates.publish-canary', update: command.update });
      return;
    case 'write-status':
      send('sources', {
        type: 'sources.write-order-status',
        correlationId: command.correlationId,
        name: command.name,
        expectedVersion: command.expectedVersion,
        status: command.status,
        replyTo: self,
      });
      releaseEvents.countWrite(context, command.status.state);
      return;
    case 'read-progress':
      send('platform', {
        type: 'platform.read',
        correlationId: core.canary.progress.readId(command.name),
        key: `${PROGRESS_KIND}/${command.name}`,
        replyTo: self,
      });
      return;
    case 'write-progress':
      send('platform', {
        type: 'platform.write',
        correlationId: command.correlationId,
        key: `${PROGRESS_KIND}/${command.name}`,
        expectedVersion: command.expectedVersion,
        value: command.value,
        writeId: `${context.incarnation}-${command.correlationId}`,
        replyTo: self,
      });
      return;
    case 'record':
      releaseEvents.record(context, command);
      return;
    default:
      core.results.assertNever(command);
  }
}
