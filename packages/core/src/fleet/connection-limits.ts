/** Divides the connections that an upstream accepts among the instances. */
import type * as decide from './decide.js';
import type * as fleet from './state.js';

/** Instances beyond the known members that may hold connections, such as restarts and replacements. */
const SPARE_INSTANCES = 2;
/** Share of an upstream's connections that is divided among the instances. */
const CONNECTION_SHARE = 0.8;

export function withConnectionLimits(state: fleet.State): decide.Step {
  const instances = Math.max(1, state.members.length) + SPARE_INSTANCES;
  const limits = [...state.services.values()].map(({ name, maxConnections }) => [
    name,
    Math.max(1, Math.floor((maxConnections * CONNECTION_SHARE) / instances)),
  ]);
  const connectionsPerUpstream = Object.fromEntries(limits) as Record<string, number>;
  return { state, commands: [{ kind: 'limit-connections', connectionsPerUpstream }] };
}
