/** What this instance tells its peers of its own work, and what it does with theirs. */
import type * as task from '../kernel/task.js';
import type * as messages from '../messages/gateway.js';
import * as peerWork from './peer-work.js';
import type * as fleet from './state.js';
import * as upstreams from './upstream.js';

/** Pause between two notes: changes within it go together. A placement is known to others after that. */
const LEAST_PAUSE_MS = 40;
/** In large deployments a longer pause keeps to the bytes that an instance may spend on control. */
const PAUSE_PER_MEMBER_MS = 3;
const LONGEST_PAUSE_MS = 250;
/** Upstreams and parts in one note, so that it fits into a datagram; the rest follows. */
const MAX_WORK = 60;
const MAX_SENT = 12;

export function pauseMs({ members }: fleet.State): number {
  const fairMs = members.length * PAUSE_PER_MEMBER_MS;
  return Math.min(LONGEST_PAUSE_MS, Math.max(LEAST_PAUSE_MS, fairMs));
}

export function ownWork({ underWay }: upstreams.Upstream): peerWork.Work {
  const own = [...underWay.values()];
  return {
    unreadTokens: own.reduce((sum, each) => sum + (each.isAnswered ? 0 : each.tokens), 0),
    promptTokens: own.reduce((sum, each) => sum + each.promptTokens, 0),
    requests: own.length,
  };
}

/** Members that have not told of their work lately, this instance left out. */
export function unheard({ members, peerWork: known }: fleet.State): number {
  return Math.max(0, members.length - 1 - known.size);
}

/**
 * Notes that the own work at an upstream has changed. Says whether a note is to be scheduled: later
 * changes go with it.
 */
export function noteChange(
  telling: fleet.Telling,
  { upstream, context }: Pick<messages.Destination, 'upstream' | 'context'>,
): boolean {
  telling.changed.add(upstream);
  if (context && context.sharedParts.length > 0) {
    telling.sent.push({ upstream, salt: context.salt, parts: context.sharedParts });
  }
  const isFirst = !telling.isDue;
  Object.assign(telling, { isDue: true });
  return isFirst;
}

/** The note that is due, if there is anything to tell, and whether some is left for another. */
export function next(
  { telling, listing, instance }: fleet.State,
  now: task.Instant,
): { note: peerWork.Note | undefined; isMoreLeft: boolean } {
  const changed = [...telling.changed].slice(0, MAX_WORK);
  changed.forEach((id) => telling.changed.delete(id));
  const work = changed.flatMap((id) => {
    const upstream = listing.upstreams.get(id);
    return upstream ? [{ upstream: id, work: ownWork(upstream) }] : [];
  });
  const sent = telling.sent.splice(0, MAX_SENT);
  const isMoreLeft = telling.changed.size + telling.sent.length > 0;
  Object.assign(telling, { isDue: isMoreLeft });
  if (work.length + sent.length === 0) return { note: undefined, isMoreLeft };
  const { life } = telling;
  const note = { from: instance, life, sentAtMs: now.monotonicMs, isWhole: false, work, sent };
  return { note, isMoreLeft };
}

/** All work at once: it makes up for notes that were lost, and shows that this instance lives. */
export function whole(
  { telling, listing, instance }: fleet.State,
  now: task.Instant,
): peerWork.Note {
  const all = [...listing.upstreams.values()].filter(({ underWay }) => underWay.size > 0);
  const isWhole = all.length <= MAX_WORK;
  const work = all
    .slice(0, MAX_WORK)
    .map((each) => ({ upstream: each.listed.id, work: ownWork(each) }));
  if (isWhole) telling.changed.clear();
  const { life } = telling;
  return { from: instance, life, sentAtMs: now.monotonicMs, isWhole, work, sent: [] };
}

/** Takes in a peer's note. */
export function hear(state: fleet.State, note: peerWork.Note, now: task.Instant): fleet.State {
  if (note.from === state.instance) return state;
  const known = peerWork.take(state.peerWork, note, now);
  if (known === state.peerWork) return state;
  note.sent.forEach(({ upstream, salt, parts }) => {
    const at = state.listing.upstreams.get(upstream);
    if (at) upstreams.noteParts(at, salt, parts, now);
  });
  const before = state.peerWork.get(note.from)?.work.keys() ?? [];
  const touched = new Set([...before, ...note.work.map(({ upstream }) => upstream)]);
  refresh(state, known, touched);
  return { ...state, peerWork: known };
}

/** Forgets peers that have fallen silent. */
export function expire(state: fleet.State, now: task.Instant): fleet.State {
  const known = peerWork.withoutSilent(state.peerWork, now);
  if (known === state.peerWork) return state;
  refresh(state, known, new Set(state.listing.upstreams.keys()));
  return { ...state, peerWork: known };
}

function refresh(
  { listing }: fleet.State,
  known: peerWork.PeerWork,
  ids: ReadonlySet<string>,
): void {
  ids.forEach((id) => {
    const upstream = listing.upstreams.get(id);
    if (upstream) upstream.peerWork = peerWork.at(known, id);
  });
}
