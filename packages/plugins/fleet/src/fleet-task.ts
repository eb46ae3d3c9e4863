/** Task that owns the state of the upstreams and the inventory of the context stores. */
import * as core from '@medlarweir/core';

import * as loadCommands from './load-commands.js';
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
    const { name, dataCentre, features } = settings;
    return {
      initial: core.fleet.state.initial(name, dataCentre, settings, incarnation, features),
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
  speeds,
  quarantine,
  waiting,
  ledger,
  reach,
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
    speed: core.speed.describeUpstream(each),
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
    reach: reach.reach.kind,
    members,
    heardPeers: [...peerWork.keys()],
    speeds: core.speed.describeServices(speeds),
    tokensReadPerMs: Object.fromEntries(prefillRates),
    named: Object.fromEntries(targetVersions),
    waiting: waiting.size,
    usage: [...ledger.own].map(([service, accounts]) => ({ service, accounts: accounts.size })),
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
    case 'send-silence-update':
      send('peerNotes', { type: 'peer-updates.publish-silence', update: command.update });
      return;
    case 'send-speed-update':
      send('peerNotes', { type: 'peer-updates.publish-speeds', update: command.update });
      return;
    case 'send-usage-update':
      send('peerNotes', { type: 'peer-updates.publish-usage', update: command.update });
      return;
    case 'schedule-waiting':
      context.schedule('waiting', command.delayMs, { type: 'fleet.waiting-due' });
      return;
    case 'record-load-refusal':
    case 'record-wait':
    case 'record-overuse':
      loadCommands.perform(context, command);
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
    case 'record-reach':
      recordReach(context, command);
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

function recordReach(
  { send, record }: TaskContext,
  { reach, silentForMs, failed, listed }: Extract<Command, { kind: 'record-reach' }>,
): void {
  const isCutOff = reach.kind === 'cut-off';
  const details = { isCutOff, silentForMs: Math.round(silentForMs), failed, listed };
  record({ name: 'reachChanged', details });
  send('metrics', { type: 'metrics.gauge', name: 'gateway.cut_off', value: isCutOff ? 1 : 0 });
}

function known(ms: number): number {
  return Number.isFinite(ms) ? Math.round(ms) : UNKNOWN_MS;
}

/** Prompts placed by size, and the delay that a long one is expected to cause others. */
function countMix(
  { send }: TaskContext,
  { size, interferenceMs }: core.promptMix.plan.Placed,
): void {
  send('metrics', { type: 'metrics.count', name: 'gateway.prompts', by: 1, label: size });
  if (size === 'short') return;
  send('metrics', { type: 'metrics.timing', name: 'gateway.interference', ms: interferenceMs });
}

function recordPlacement(
  context: TaskContext,
  { placementRequest, decision }: Extract<Command, { kind: 'record-placement' }>,
): void {
  const { record } = context;
  const { requestId, service } = placementRequest;
  switch (decision.kind) {
    case 'placed': {
      const { destination, costMs, candidates, mix } = decision;
      const { upstream } = destination;
      const details = { service, upstream, costMs, candidates, ...mix };
      record({ name: 'requestPlaced', requestId, details });
      if (mix) countMix(context, mix);
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
