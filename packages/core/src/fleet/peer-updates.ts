/** What this instance tells its peers of its own work, and what it does with theirs. */
import type * as task from '../kernel/task.js';
import type * as messages from '../messages/gateway.js';
import * as peerWork from './peer-work.js';
import type * as fleet from './state.js';
import * as upstreams from './upstream.js';

/** Pause between two notes: changes within it go together. A placement is known to others after that. */
const MIN_INTERVAL_MS = 40;
/** In large deployments a longer pause keeps to the bytes that an instance may spend on control. */
const INTERVAL_PER_MEMBER_MS = 3;
const MAX_INTERVAL_MS = 250;
/** Upstreams and parts in one note, so that it fits into a datagram; the rest follows. */
const MAX_UPSTREAMS_PER_UPDATE = 60;
const MAX_SENT_PARTS_PER_UPDATE = 12;

export function intervalMs({ members }: fleet.State): number {
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

/** Members that have not told of their work lately, this instance left out. */
export function unreportedPeers({ members, peerWork: known }: fleet.State): number {
  return Math.max(0, members.length - 1 - known.size);
}

/**
 * Notes that the own work at an upstream has changed. Says whether a note is to be scheduled: later
 * changes go with it.
 */
export function addChange(
  telling: fleet.Outbox,
  { upstream, context }: Pick<messages.Destination, 'upstream' | 'context'>,
): boolean {
  telling.changedUpstreams.add(upstream);
  if (context && context.sharedParts.length > 0) {
    telling.sentParts.push({ upstream, salt: context.salt, parts: context.sharedParts });
  }
  const isFirst = !telling.isScheduled;
  Object.assign(telling, { isScheduled: true });
  return isFirst;
}

/** The note that is due, if there is anything to tell, and whether some is left for another. */
export function takeNext(
  { outbox, registry, instance }: fleet.State,
  now: task.Instant,
): { note: peerWork.Update | undefined; isMoreLeft: boolean } {
  const changed = [...outbox.changedUpstreams].slice(0, MAX_UPSTREAMS_PER_UPDATE);
  changed.forEach((id) => outbox.changedUpstreams.delete(id));
  const work = changed.flatMap((id) => {
    const upstream = registry.upstreams.get(id);
    return upstream ? [{ upstream: id, work: ownWork(upstream) }] : [];
  });
  const sentParts = outbox.sentParts.splice(0, MAX_SENT_PARTS_PER_UPDATE);
  const isMoreLeft = outbox.changedUpstreams.size + outbox.sentParts.length > 0;
  Object.assign(outbox, { isScheduled: isMoreLeft });
  if (work.length + sentParts.length === 0) return { note: undefined, isMoreLeft };
  const { incarnation } = outbox;
  const note = {
    from: instance,
    incarnation,
    sentAtMs: now.monotonicMs,
    isSnapshot: false,
    work,
    sentParts,
  };
  return { note, isMoreLeft };
}

/** All work at once: it makes up for notes that were lost, and shows that this instance lives. */
export function takeSnapshot(
  { outbox, registry, instance }: fleet.State,
  now: task.Instant,
): peerWork.Update {
  const all = [...registry.upstreams.values()].filter(({ inFlight }) => inFlight.size > 0);
  const isWhole = all.length <= MAX_UPSTREAMS_PER_UPDATE;
  const work = all
    .slice(0, MAX_UPSTREAMS_PER_UPDATE)
    .map((each) => ({ upstream: each.registration.id, work: ownWork(each) }));
  if (isWhole) outbox.changedUpstreams.clear();
  const { incarnation } = outbox;
  return {
    from: instance,
    incarnation,
    sentAtMs: now.monotonicMs,
    isSnapshot: isWhole,
    work,
    sentParts: [],
  };
}

/** Takes in a peer's note. */
export function receive(state: fleet.State, note: peerWork.Update, now: task.Instant): fleet.State {
  if (note.from === state.instance) return state;
  const known = peerWork.applyUpdate(state.peerWork, note, now);
  if (known === state.peerWork) return state;
  note.sentParts.forEach(({ upstream, salt, parts }) => {
    const at = state.registry.upstreams.get(upstream);
    if (at) upstreams.recordSentParts(at, salt, parts, now);
  });
  const before = state.peerWork.get(note.from)?.work.keys() ?? [];
  const touched = new Set([...before, ...note.work.map(({ upstream }) => upstream)]);
  refreshPeerWork(state, known, touched);
  return { ...state, peerWork: known };
}

/** Forgets peers that have fallen silent. */
export function expirePeers(state: fleet.State, now: task.Instant): fleet.State {
  const known = peerWork.withoutStale(state.peerWork, now);
  if (known === state.peerWork) return state;
  refreshPeerWork(state, known, new Set(state.registry.upstreams.keys()));
  return { ...state, peerWork: known };
}

function refreshPeerWork(
  { registry }: fleet.State,
  known: peerWork.ReportsByPeer,
  ids: ReadonlySet<string>,
): void {
  ids.forEach((id) => {
    const upstream = registry.upstreams.get(id);
    if (upstream) upstream.peerWork = peerWork.totalAt(known, id);
  });
}
