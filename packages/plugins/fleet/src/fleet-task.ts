/** Task that owns the state of the upstreams and the inventory of the context stores. */
import * as core from '@medlarweir/core';

import * as quarantineCommands from './quarantine-commands.js';

type Message = core.messages.FleetMessage;
type State = core.fleet.state.State;
type Command = core.fleet.Command;
type Settings = core.settings.gateway.GatewaySettings;
type TaskContext = core.kernel.TaskContext<Message, Settings>;

export const definition: core.kernel.TaskDefinition<State, Message, Command, Settings> = {
  name: 'fleet',
  create: (context) => {
    const { settings, incarnation } = context;
    const { name, dataCentre } = settings;
    return {
      initial: core.fleet.state.initial(name, dataCentre, settings, incarnation),
      decide: core.fleet.decide,
      perform: (command) => perform(context, command),
      dump,
    };
  },
};

function dump({
  registry,
  inventory,
  members,
  targetVersions,
  peerWork,
  prefillRates,
  quarantine,
}: State): unknown {
  const upstreams = [...registry.upstreams.values()].map((each) => ({
    id: each.registration.id,
    service: each.registration.service,
    standing: each.registrationState.kind,
    reach: each.reachability.kind,
    underWay: each.inFlight.size,
    peerWork: each.peerWork,
    versions: Object.fromEntries(each.versions),
    limitPerS: each.namedLimit?.perS,
  }));
  const stores = [...inventory.stores].map(([name, { isReachable, parts, usedTokens }]) => ({
    name,
    isReachable,
    parts: parts.size,
    usedTokens,
  }));
  return {
    upstreams,
    stores,
    members,
    heardPeers: [...peerWork.keys()],
    tokensReadPerMs: Object.fromEntries(prefillRates),
    named: Object.fromEntries(targetVersions),
    quarantined: [...quarantine.verdicts.values()].map(({ verdict }) => verdict),
  };
}

function perform(context: TaskContext, command: Command): void {
  const { send, record } = context;
  switch (command.kind) {
    case 'reply':
      command.replyTo.send(command.message);
      return;
    case 'probe':
      send('transport', { type: 'transport.probe', probe: command.probe });
      return;
    case 'report-to-rollouts':
      send('rollouts', { type: 'rollouts.upstreams-changed', upstreams: command.upstreams });
      return;
    case 'report-obsolete-parts':
      send('rollouts', {
        type: 'rollouts.stores-changed',
        stores: command.stores,
        obsoleteParts: command.obsoleteParts,
      });
      return;
    case 'limit-connections': {
      const { connectionsPerUpstream } = command;
      send('transport', { type: 'transport.limits-changed', connectionsPerUpstream });
      return;
    }
    case 'report-versions':
      send('canary', { type: 'canary.versions-reported', services: command.services });
      return;
    case 'schedule-tick':
      context.schedule('tick', core.fleet.TICK_INTERVAL_MS, { type: 'fleet.tick' });
      return;
    case 'schedule-peer-update':
      context.schedule('tell', command.delayMs, { type: 'fleet.publish-work' });
      return;
    case 'send-peer-update':
      send('peerNotes', { type: 'peer-updates.publish-work', update: command.update });
      return;
    case 'record-placement':
      recordPlacement(context, command);
      return;
    case 'record-upstream-change': {
      const { id, text, ageMs } = command;
      record({
        name: 'upstreamChanged',
        details: { upstream: id, text, heardMsAgo: Math.round(ageMs) },
      });
      return;
    }
    case 'record-target-versions':
      recordTargetVersions(context, command);
      return;
    case 'record-evacuation': {
      const { dataCentres, unseenMs } = command;
      record({ name: 'dataCentresEvacuated', details: { dataCentres, unseenMs: known(unseenMs) } });
      return;
    }
    case 'send-quarantine-update':
    case 'store-verdict':
    case 'store-crashes':
    case 'record-crashes-restored':
    case 'record-crash-suspects':
    case 'record-verdict':
    case 'record-verdict-lifted':
    case 'record-trial':
      quarantineCommands.perform(context, command);
      return;
    default:
      core.results.assertNever(command);
  }
}

const REFUSALS_OF_QUARANTINE: readonly core.messages.PlacementRefusal[] = [
  'quarantined',
  'suspected',
  'one-at-a-time',
];
/** Journal value of a time that is not known. */
const UNKNOWN_MS = -1;

function recordTargetVersions(
  { record }: TaskContext,
  { versions, unseenMs }: Extract<Command, { kind: 'record-target-versions' }>,
): void {
  record({ name: 'weightsNamed', details: { ...versions, unseenMs: known(unseenMs) } });
}

function known(ms: number): number {
  return Number.isFinite(ms) ? Math.round(ms) : UNKNOWN_MS;
}

function recordPlacement(
  context: TaskContext,
  { placementRequest, decision }: Extract<Command, { kind: 'record-placement' }>,
): void {
  const { record } = context;
  const { requestId, service } = placementRequest;
  switch (decision.kind) {
    case 'placed': {
      const { destination, costMs, candidates } = decision;
      const { upstream } = destination;
      const details = { service, upstream, costMs, candidates };
      record({ name: 'requestPlaced', requestId, details });
      return;
    }
    case 'none': {
      const { reason, detail = '' } = decision;
      record({ name: 'requestPlaced', requestId, details: { service, reason, detail } });
      if (REFUSALS_OF_QUARANTINE.includes(reason)) quarantineCommands.count(context, 'refused');
      return;
    }
    default:
      core.results.assertNever(decision);
  }
}
