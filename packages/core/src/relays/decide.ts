/**
 * Decides through which instance a request goes that this one cannot serve, and what became of it. A request
 * goes to another peer only while it certainly has not run. Updates in place what its task alone owns.
 */
import type * as attemptResult from '../gateway/attempt-result.js';
import type * as task from '../kernel/task.js';
import type * as messages from '../messages/relays.js';
import type * as peerUpdates from '../messages/peer-updates.js';
import * as results from '../results/index.js';
import * as peers from './peers.js';

type Open = {
  relayRequest: messages.RelayRequest;
  /** Peers that have been asked, the last of which has the request. */
  tried: string[];
  sentAtMs: number;
  isHeadOwed: boolean;
  /** Why the peers before did not take it. */
  refusals: string[];
};

export type State = {
  name: string;
  dataCentre: string;
  peers: readonly peers.Peer[];
  standings: Map<string, peers.Standing>;
  /** By relay. */
  open: Map<string, Open>;
};

export type Outcome = messages.RelayEnd['kind'] | 'aborted';

export type Command =
  | { kind: 'send'; relayRequest: messages.RelayRequest; peer: peers.Peer }
  | { kind: 'abort'; relay: string }
  | { kind: 'reply'; replyTo: messages.RelayRequest['replyTo']; reply: messages.RelayReply }
  | { kind: 'record-skipped'; peer: string; reason: peers.SkipReason }
  | { kind: 'count'; outcome: Outcome }
  | { kind: 'close' };

type Step = task.Step<State, Command>;

/** Peers that are asked about one request at most; each may cost its caller a connection's time-out. */
const MAX_TRIES = 3;
/** With less time than this left, no further peer is asked. */
const MIN_RELAY_MS = 40;
const FIRST_REDIRECT = 300;

export function initial({ name, dataCentre }: Pick<State, 'name' | 'dataCentre'>): State {
  return { name, dataCentre, peers: [], standings: new Map(), open: new Map() };
}

export function decide(state: State, message: messages.RelaysMessage, now: task.Instant): Step {
  switch (message.type) {
    case 'relays.members-changed':
      return { state: withMembers(state, message.members), commands: [] };
    case 'relays.send': {
      const { relayRequest } = message;
      const open: Open = {
        relayRequest,
        tried: [],
        sentAtMs: now.monotonicMs,
        isHeadOwed: true,
        refusals: [],
      };
      state.open.set(relayRequest.relay, open);
      return { state, commands: sendOn(state, open, now) };
    }
    case 'relays.abort':
      return { state, commands: abort(state, message.relay, now) };
    case 'relays.peer-answered':
      onAnswered(state, message.relay, now);
      return { state, commands: [] };
    case 'relays.ended':
      return { state, commands: onEnded(state, message, now) };
    case 'task.stop':
      return { state, commands: [{ kind: 'close' }] };
    case 'task.start':
    case 'task.drain':
      return { state, commands: [] };
    default:
      return results.assertNever(message);
  }
}

/** Entries of releases that publish no address for callers name no peer to ask. */
function withMembers(state: State, members: readonly peerUpdates.PeerEndpoint[]): State {
  const listed = members.flatMap(({ name, dataCentre, callers: address }) =>
    name === state.name || address === undefined ? [] : [{ name, dataCentre, address }],
  );
  const names = new Set(listed.map(({ name }) => name));
  [...state.standings.keys()].forEach((name) => {
    if (!names.has(name)) state.standings.delete(name);
  });
  return { ...state, peers: listed };
}

function standingOf({ standings }: State, name: string): peers.Standing {
  return standings.get(name) ?? peers.UNSEEN;
}

/** Sends the request to the next peer, or ends it if none is left. */
function sendOn(state: State, open: Open, now: task.Instant): readonly Command[] {
  const { relayRequest, tried, refusals } = open;
  const { replyTo, request, deadlineAtMs } = relayRequest;
  const recorded = recordOwing(state, now);
  const untried = state.peers.filter(
    ({ name }) =>
      !tried.includes(name) && standingOf(state, name).skippedUntilMs <= now.monotonicMs,
  );
  // One that owes heads may also be at work on long prompts, so it is asked last.
  const prompt = untried.filter(({ name }) => !standingOf(state, name).isOwing);
  const among = prompt.length > 0 ? prompt : untried;
  const peer = peers.choose(request.requestId, state.dataCentre, among);
  const isLate = deadlineAtMs - now.monotonicMs < MIN_RELAY_MS;
  if (!peer || isLate || tried.length >= MAX_TRIES) {
    const last = isLate ? 'no time left' : `${untried.length} instances left to ask`;
    const end = { kind: 'not-run', detail: [...refusals, last].join('; ') } as const;
    return [...recorded, ...finish(state, open, end)];
  }
  tried.push(peer.name);
  Object.assign(open, { sentAtMs: now.monotonicMs, isHeadOwed: true });
  return [
    ...recorded,
    { kind: 'reply', replyTo, reply: { type: 'relay.sent', peer: peer.name } },
    { kind: 'send', relayRequest, peer },
  ];
}

/** Notes which peers owe heads, and returns journal entries of those that have come to. */
function recordOwing(state: State, now: task.Instant): readonly Command[] {
  const owed = owedByPeer(state);
  return state.peers.flatMap(({ name }): readonly Command[] => {
    const standing = standingOf(state, name);
    const isOwing = peers.isOwing(standing, owed.get(name) ?? [], now);
    if (isOwing === standing.isOwing) return [];
    state.standings.set(name, { ...standing, isOwing });
    return isOwing ? [{ kind: 'record-skipped', peer: name, reason: 'owing' }] : [];
  });
}

/** When the requests were sent that still wait for the heads of their answers. */
function owedByPeer({ open }: State): ReadonlyMap<string, readonly number[]> {
  const owed = new Map<string, number[]>();
  open.forEach(({ tried, sentAtMs, isHeadOwed }) => {
    const peer = tried.at(-1);
    if (peer === undefined || !isHeadOwed) return;
    owed.set(peer, [...(owed.get(peer) ?? []), sentAtMs]);
  });
  return owed;
}

function finish(
  { open: all }: State,
  { relayRequest: { relay, replyTo } }: Open,
  end: messages.RelayEnd,
): readonly Command[] {
  all.delete(relay);
  return [
    { kind: 'reply', replyTo, reply: { type: 'relay.ended', end } },
    { kind: 'count', outcome: end.kind },
  ];
}

function abort(state: State, relay: string, now: task.Instant): readonly Command[] {
  const open = state.open.get(relay);
  const peer = open?.tried.at(-1);
  if (!open || peer === undefined) return [];
  state.open.delete(relay);
  if (open.isHeadOwed) {
    const standing = peers.afterAbort(standingOf(state, peer), open.sentAtMs, now);
    state.standings.set(peer, standing);
  }
  return [
    { kind: 'abort', relay },
    { kind: 'count', outcome: 'aborted' },
  ];
}

function onAnswered(state: State, relay: string, now: task.Instant): void {
  const open = state.open.get(relay);
  const peer = open?.tried.at(-1);
  if (!open || peer === undefined) return;
  open.isHeadOwed = false;
  state.standings.set(peer, peers.afterAnswer(standingOf(state, peer), now));
}

function onEnded(
  state: State,
  { relay, result }: Extract<messages.RelaysMessage, { type: 'relays.ended' }>,
  now: task.Instant,
): readonly Command[] {
  const open = state.open.get(relay);
  const peer = open?.tried.at(-1);
  if (!open || peer === undefined) return [];
  switch (result.kind) {
    case 'answered':
      return finish(state, open, endOf(result, open));
    case 'broken':
      return finish(state, open, {
        kind: 'broken',
        detail: `${peer}: ${result.reason}: ${result.detail}`,
      });
    case 'rejected':
      return sendElsewhere(state, open, peer, 'cut-off', now);
    case 'unsent':
      return afterUnsent(state, open, peer, result.reason, now);
    default:
      return results.assertNever(result);
  }
}

/** Peers pass on successes only with the seal of an upstream; one without it is not their answer. */
function endOf(
  { head, body, isSealed }: Extract<attemptResult.Result, { kind: 'answered' }>,
  { tried }: Open,
): messages.RelayEnd {
  if (isSealed || head.status >= FIRST_REDIRECT) return { kind: 'answered', head, body };
  return { kind: 'broken', detail: `${tried.at(-1) ?? ''}: answer without a seal` };
}

function afterUnsent(
  state: State,
  open: Open,
  peer: string,
  reason: attemptResult.UnsentReason,
  now: task.Instant,
): readonly Command[] {
  switch (reason) {
    case 'unreachable':
      return sendElsewhere(state, open, peer, 'unreachable', now);
    case 'no-connection':
    case 'out-of-time':
    case 'weights-expired':
      open.refusals.push(`${peer}: ${reason}`);
      return sendOn(state, open, now);
    default:
      return results.assertNever(reason);
  }
}

/** The peer did not take the request, and is left out for a while. */
function sendElsewhere(
  state: State,
  open: Open,
  peer: string,
  reason: Exclude<peers.SkipReason, 'owing'>,
  now: task.Instant,
): readonly Command[] {
  const standing = standingOf(state, peer);
  const wasSkipped = standing.skippedUntilMs > now.monotonicMs;
  state.standings.set(peer, peers.afterRefusal(standing, now));
  open.refusals.push(`${peer}: ${reason}`);
  const commands = sendOn(state, open, now);
  return wasSkipped ? commands : [{ kind: 'record-skipped', peer, reason }, ...commands];
}
