/** Builds the updates that this instance sends to its peers about its work, and applies theirs. */
import type * as task from '../kernel/task.js';
import type * as messages from '../messages/gateway.js';
import * as peerWork from './peer-work.js';
import type * as fleet from './state.js';
import * as upstreams from './upstream.js';

/** Interval between updates; changes within it are batched. Peers see a placement after this delay. */
const MIN_INTERVAL_MS = 40;
/** Longer intervals in large deployments keep within an instance's byte budget for control traffic. */
const INTERVAL_PER_MEMBER_MS = 3;
const MAX_INTERVAL_MS = 250;
/** Between an instance and its reader: an update takes two such intervals to reach the others. */
const SHARED_INTERVAL_MS = 400;
/** The same for a reader, whose updates hold all upstreams. */
const READER_INTERVAL_MS = 500;
/** Keeps the order of updates that are sent at the same time. */
const UPDATE_ORDER_STEP_MS = 0.01;
/** Upstreams and sent parts in one update, so that it is not fragmented; the rest follows in the next. */
const MAX_UPSTREAMS_PER_UPDATE = 25;
const MAX_SENT_PARTS_PER_UPDATE = 12;

export function intervalMs({ members, sharing }: fleet.State): number {
  if (sharing === 'as-reader') return READER_INTERVAL_MS;
  if (sharing === 'through-reader') return SHARED_INTERVAL_MS;
  const fairMs = members.length * INTERVAL_PER_MEMBER_MS;
  return Math.min(MAX_INTERVAL_MS, Math.max(MIN_INTERVAL_MS, fairMs));
}

export function ownWork({ inFlight }: upstreams.Upstream): peerWork.InFlightWork {
  const own = [...inFlight.values()];
  return {
    unreadTokens: own.reduce((sum, each) => sum + (each.hasFirstByte ? 0 : each.tokensToRead), 0),
    promptTokens: own.reduce((sum, each) => sum + each.promptTokens, 0),
    requests: own.length,
  };
}

/** Number of other members whose work is part of a current report. */
export function reportedPeers({ peerWork: reports }: fleet.State): number {
  return [...reports.values()].reduce(
    (sum, { scope, instances }) => sum + instances - (scope === 'fleet' ? 1 : 0),
    0,
  );
}

/** Number of other members without a current report. */
export function unreportedPeers(state: fleet.State): number {
  return Math.max(0, state.members.length - 1 - reportedPeers(state));
}

/**
 * Records that this instance's work at an upstream has changed. Returns whether the caller must schedule
 * an update; false if one is scheduled already and will include the change.
 */
export function addChange(
  outbox: fleet.Outbox,
  { upstream, context }: Pick<messages.Destination, 'upstream' | 'context'>,
): boolean {
  outbox.changedUpstreams.add(upstream);
  if (context && context.sharedParts.length > 0) {
    outbox.sentParts.push({ upstream, salt: context.salt, parts: context.sharedParts });
  }
  const isFirst = !outbox.isScheduled;
  Object.assign(outbox, { isScheduled: true });
  return isFirst;
}

/** Returns the next update, if there are changes, and whether some are left for another one. */
export function takeNext(
  { outbox, registry, instance }: fleet.State,
  now: task.Instant,
): { update: peerWork.Update | undefined; isMoreLeft: boolean } {
  const changed = [...outbox.changedUpstreams].slice(0, MAX_UPSTREAMS_PER_UPDATE);
  changed.forEach((id) => outbox.changedUpstreams.delete(id));
  const work = changed.flatMap((id) => {
    const upstream = registry.upstreams.get(id);
    return upstream ? [{ upstream: id, work: ownWork(upstream) }] : [];
  });
  const sentParts = outbox.sentParts.splice(0, MAX_SENT_PARTS_PER_UPDATE);
  const isMoreLeft = outbox.changedUpstreams.size + outbox.sentParts.length > 0;
  Object.assign(outbox, { isScheduled: isMoreLeft });
  if (work.length + sentParts.length === 0) return { update: undefined, isMoreLeft };
  const update: peerWork.Update = {
    ...signature(instance, outbox, now),
    scope: 'own',
    instances: 1,
    isSnapshot: false,
    work,
    sentParts,
  };
  return { update, isMoreLeft };
}

function signature(
  from: string,
  { incarnation }: fleet.Outbox,
  now: task.Instant,
): Pick<peerWork.Update, 'from' | 'incarnation' | 'sentAtMs'> {
  return { from, incarnation, sentAtMs: now.monotonicMs };
}

/** Returns an update with all work. It replaces lost updates and shows that this instance is alive. */
export function takeSnapshot(
  { outbox, registry, instance }: fleet.State,
  now: task.Instant,
): peerWork.Update {
  const all = [...registry.upstreams.values()].filter(({ inFlight }) => inFlight.size > 0);
  const isComplete = all.length <= MAX_UPSTREAMS_PER_UPDATE;
  const work = all
    .slice(0, MAX_UPSTREAMS_PER_UPDATE)
    .map((each) => ({ upstream: each.registration.id, work: ownWork(each) }));
  if (isComplete) outbox.changedUpstreams.clear();
  return {
    ...signature(instance, outbox, now),
    scope: 'own',
    instances: 1,
    isSnapshot: isComplete,
    work,
    sentParts: [],
  };
}

/** A snapshot makes the changes before it needless. */
export function clearOutbox(outbox: fleet.Outbox): void {
  outbox.changedUpstreams.clear();
  Object.assign(outbox, { isScheduled: false, sentParts: [] });
}

/**
 * The updates that a reader sends: the work of its group to the other groups' readers, and that of all
 * instances to those that follow it.
 */
export function takeSummaries(state: fleet.State, now: task.Instant): readonly peerWork.Update[] {
  return [
    ...summaries(state, 'group', ['own'], now),
    ...summaries(state, 'fleet', ['own', 'group'], now),
  ];
}

/** One scope in several updates, each with a part of all upstreams. */
function summaries(
  { outbox, registry, instance, peerWork: reports }: fleet.State,
  scope: peerWork.Scope,
  summedUp: readonly peerWork.Scope[],
  now: task.Instant,
): readonly peerWork.Update[] {
  const included = [...reports].filter(([, report]) => summedUp.includes(report.scope));
  const byPeer = new Map(included);
  const work = [...registry.upstreams.values()]
    .map((each) => ({
      upstream: each.registration.id,
      work: peerWork.sum([ownWork(each), peerWork.totalAt(byPeer, each.registration.id)]),
    }))
    .sort((a, b) => (a.upstream < b.upstream ? -1 : 1));
  const count = Math.max(1, Math.ceil(work.length / MAX_UPSTREAMS_PER_UPDATE));
  return Array.from({ length: count }, (_, at) => {
    const { sentAtMs, ...signed } = signature(instance, outbox, now);
    return {
      ...signed,
      sentAtMs: sentAtMs + at * UPDATE_ORDER_STEP_MS,
      scope,
      instances: 1 + included.reduce((sum, [, report]) => sum + report.instances, 0),
      isSnapshot: false,
      work: work.slice(at * MAX_UPSTREAMS_PER_UPDATE, (at + 1) * MAX_UPSTREAMS_PER_UPDATE),
      sentParts: [],
    };
  });
}

/** Changes how updates are exchanged, and drops those that came the other way. */
export function withSharing(state: fleet.State, sharing: peerWork.Sharing): fleet.State {
  if (state.sharing === sharing) return state;
  const heard = peerWork.SCOPES_HEARD[sharing];
  const kept = [...state.peerWork].filter(([, { scope }]) => heard.includes(scope));
  const reports = new Map(kept);
  refreshPeerWork(state, reports, new Set(state.registry.upstreams.keys()));
  return { ...state, sharing, peerWork: reports };
}

/** Applies a peer's update; ignores this instance's own and outdated ones. */
export function receive(
  state: fleet.State,
  update: peerWork.Update,
  now: task.Instant,
): fleet.State {
  if (
    update.from === state.instance ||
    !peerWork.SCOPES_HEARD[state.sharing].includes(update.scope)
  ) {
    return state;
  }
  const reports = peerWork.applyUpdate(state.peerWork, update, now);
  if (reports === state.peerWork) return state;
  update.sentParts.forEach(({ upstream, salt, parts }) => {
    const at = state.registry.upstreams.get(upstream);
    if (at) upstreams.recordSentParts(at, salt, parts, now);
  });
  const known = state.peerWork.get(update.from);
  const isReplaced = update.isSnapshot || known?.incarnation !== update.incarnation;
  const before = isReplaced ? (known?.work.keys() ?? []) : [];
  const touched = new Set([...before, ...update.work.map(({ upstream }) => upstream)]);
  refreshPeerWork(state, reports, touched);
  return { ...state, peerWork: reports };
}

/** Drops the reports of peers that have become stale. */
export function expirePeers(state: fleet.State, now: task.Instant): fleet.State {
  const reports = peerWork.withoutStale(state.peerWork, now);
  if (reports === state.peerWork) return state;
  refreshPeerWork(state, reports, new Set(state.registry.upstreams.keys()));
  return { ...state, peerWork: reports };
}

function refreshPeerWork(
  { registry }: fleet.State,
  reports: peerWork.ReportsByPeer,
  ids: ReadonlySet<string>,
): void {
  ids.forEach((id) => {
    const upstream = registry.upstreams.get(id);
    if (upstream) upstream.peerWork = othersWork(upstream, reports);
  });
}

/** The work of other instances; a sum over the whole fleet includes this instance's own. */
function othersWork(
  upstream: upstreams.Upstream,
  reports: peerWork.ReportsByPeer,
): peerWork.InFlightWork {
  const total = peerWork.totalAt(reports, upstream.registration.id);
  const isOwnIncluded = [...reports.values()].some(({ scope }) => scope === 'fleet');
  return isOwnIncluded ? peerWork.subtract(total, ownWork(upstream)) : total;
}
