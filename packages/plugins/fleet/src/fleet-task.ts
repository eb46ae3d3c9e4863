/** The task that owns what is known of the upstreams and of the context stores. */
import * as core from '@medlarweir/core';

type Message = core.messages.FleetMessage;
type State = core.fleet.state.State;
type Command = core.fleet.Command;
type Settings = core.settings.gateway.GatewaySettings;
type Surroundings = core.kernel.TaskContext<Message, Settings>;

export const definition: core.kernel.TaskDefinition<State, Message, Command, Settings> = {
  name: 'fleet',
  create: (surroundings) => {
    const { settings, incarnation } = surroundings;
    const { name, dataCentre } = settings;
    return {
      initial: core.fleet.state.initial(name, dataCentre, settings, incarnation),
      decide: core.fleet.decide,
      perform: (command) => perform(surroundings, command),
      dump,
    };
  },
};

function dump({ listing, holdings, members, named, peerWork, readRates }: State): unknown {
  const upstreams = [...listing.upstreams.values()].map((each) => ({
    id: each.listed.id,
    service: each.listed.service,
    standing: each.standing.kind,
    reach: each.reach.kind,
    underWay: each.underWay.size,
    peerWork: each.peerWork,
    versions: Object.fromEntries(each.versions),
  }));
  const stores = [...holdings.stores].map(([name, { isReachable, parts, usedTokens }]) => ({
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
    tokensReadPerMs: Object.fromEntries(readRates),
    named: Object.fromEntries(named),
  };
}

function perform(surroundings: Surroundings, command: Command): void {
  const { send, record } = surroundings;
  switch (command.kind) {
    case 'reply':
      command.replyTo.send(command.message);
      return;
    case 'probe':
      send('transport', { type: 'transport.probe', probe: command.probe });
      return;
    case 'tell-rollouts':
      send('rollouts', { type: 'rollouts.upstreams-changed', upstreams: command.upstreams });
      return;
    case 'tell-replaced':
      send('rollouts', {
        type: 'rollouts.stores-changed',
        stores: command.stores,
        held: command.held,
      });
      return;
    case 'limit-connections': {
      const { connectionsPerUpstream } = command;
      send('transport', { type: 'transport.limits-changed', connectionsPerUpstream });
      return;
    }
    case 'schedule-tick':
      surroundings.schedule('tick', core.fleet.TICK_MS, { type: 'fleet.tick' });
      return;
    case 'schedule-tell':
      surroundings.schedule('tell', command.delayMs, { type: 'fleet.publish-work' });
      return;
    case 'tell-peers':
      send('peerNotes', { type: 'peer-updates.publish-work', note: command.note });
      return;
    case 'note-placed':
      notePlaced(surroundings, command);
      return;
    case 'note-upstream': {
      const { id, text, ageMs } = command;
      record({
        name: 'upstreamChanged',
        details: { upstream: id, text, heardMsAgo: Math.round(ageMs) },
      });
      return;
    }
    case 'note-named':
      record({ name: 'weightsNamed', details: { ...command.versions } });
      return;
    case 'note-evacuated':
      record({ name: 'dataCentresEvacuated', details: { dataCentres: command.dataCentres } });
      return;
    default:
      core.results.assertNever(command);
  }
}

function notePlaced(
  { record }: Surroundings,
  { wish, placed }: Extract<Command, { kind: 'note-placed' }>,
): void {
  const { requestId, service } = wish;
  switch (placed.kind) {
    case 'placed': {
      const { placement, costMs, candidates } = placed;
      const { upstream } = placement;
      const details = { service, upstream, costMs, candidates };
      record({ name: 'requestPlaced', requestId, details });
      return;
    }
    case 'none':
      record({ name: 'requestPlaced', requestId, details: { service, reason: placed.reason } });
      return;
    default:
      core.results.assertNever(placed);
  }
}
