/** The watches of the kinds of objects: their state, subscribers and calls. */
import type * as task from '../kernel/task.js';
import type * as platform from '../messages/platform.js';
import type * as readers from '../messages/readers.js';
import * as results from '../results/index.js';
import type * as gaps from './gaps.js';
import type * as significant from './significant.js';

export type Subscriber = {
  /** Updates of other keys of the kind are not sent to this subscriber. */
  prefix: string;
  changed: task.Address<platform.PlatformWatchUpdated>;
  away: task.Address<platform.PlatformWatchFailed> | undefined;
};

export type Position =
  | {
      kind: 'listing';
      askedAt: task.Instant;
      after: string | undefined;
      found: readonly platform.StoredObject[];
      /** Revision of the first page: later pages may contain changes that earlier ones lack. */
      revision: number | undefined;
    }
  /** `waitMs`: how long the platform may hold the call. */
  | { kind: 'watching'; askedAt: task.Instant; revision: number; waitMs: number };

export type Watch = {
  kind: string;
  pace: platform.WatchPacing;
  subscribers: readonly Subscriber[];
  /** Identifies one chain of calls to the store; an answer to another chain is dropped. */
  run: number;
  position: Position;
  failures: number;
  /** When the newest question was sent that has been answered; a position may have a later one. */
  confirmedAt: task.Instant;
  /** What this instance knows of the kind was complete at this moment; see `unchangedAt` of an update. */
  unchangedAt: task.Instant;
  /** Revision at or before which the last change took place. */
  changedAt: number;
  /** Revision up to which everything is known; never goes back, also not while the kind is listed. */
  reached: number;
  /** Until when a listing is taken for an old copy that the platform came back from, in monotonic ms. */
  copyUntilMs: number;
  /** What matters of each object, by key; see `significant`. */
  known: significant.Known;
  /** Whether a call is on its way while another instance reads for this one. */
  isCatchingUp: boolean;
  caughtUpAtMs: number;
  /** Since the store dropped the history behind this watch; undefined while it has it. For the journal. */
  gap: gaps.Gap | undefined;
};

export type State = {
  instance: string;
  watches: ReadonlyMap<string, Watch>;
  nextRun: number;
  isAvailable: boolean;
  unavailableSinceMs: number;
  isStopped: boolean;
  /** Whether another instance reads for this one; see `relayed`. */
  isRelayed: boolean;
};

export type Answer =
  | {
      kind: 'page';
      objects: readonly platform.StoredObject[];
      revision: number;
      after: string | undefined;
    }
  | {
      kind: 'updates';
      objects: readonly platform.StoredObject[];
      removed: readonly string[];
      revision: number;
    }
  | { kind: 'revision-expired' }
  | { kind: 'failed'; failure: results.Failure };

export type Message =
  | { type: 'watch.answered'; kind: string; run: number; answer: Answer }
  | { type: 'watch.timer-fired'; kind: string; run: number }
  | { type: 'watch.set-pace'; kind: string; pace: platform.WatchPacing };

export type Command =
  | {
      kind: 'fetch-page';
      objectKind: string;
      run: number;
      after: string | undefined;
    }
  | { kind: 'fetch-updates'; objectKind: string; run: number; revision: number; waitMs: number }
  | { kind: 'poll-later'; objectKind: string; run: number; delayMs: number }
  | { kind: 'tell'; reader: Subscriber; message: platform.PlatformWatchUpdated }
  | { kind: 'send-failure'; reader: Subscriber; message: platform.PlatformWatchFailed }
  | { kind: 'share-position'; position: readers.WatchPosition }
  | { kind: 'share-changes'; changes: readers.WatchChanges }
  /** A listing that is behind what is known of the kind, by so many revisions. */
  | { kind: 'record-behind'; objectKind: string; revisions: number }
  | { kind: 'record-lost'; reason: string }
  | { kind: 'record-back'; awayMs: number }
  | { kind: 'record-history-lost'; objectKind: string; revision: number }
  | {
      kind: 'record-history-regained';
      objectKind: string;
      listings: number;
      forMs: number;
      /** By how much the oldest listing was behind what was known; negative if it was ahead. */
      behind: number;
    };

export type Step = task.Step<State, Command>;

/** Before any time of either clock. */
const NEVER: task.Instant = { monotonicMs: -Infinity, wallMs: -Infinity };

const DEFAULT_PACE: platform.WatchPacing = { waitMs: 1_500, pauseMs: 0 };

export function initial(instance: string): State {
  return {
    instance,
    watches: new Map(),
    nextRun: 1,
    isAvailable: true,
    unavailableSinceMs: 0,
    isStopped: false,
    isRelayed: false,
  };
}

export function withWatch(state: State, watch: Watch): State {
  const { position } = watch;
  const reached =
    position.kind === 'watching' ? Math.max(watch.reached, position.revision) : watch.reached;
  return { ...state, watches: new Map(state.watches).set(watch.kind, { ...watch, reached }) };
}

/** Restarts the watch with a listing, so that the new subscriber gets the current objects too. */
export function addSubscriber(
  state: State,
  kind: string,
  subscriber: Subscriber,
  pace: platform.WatchPacing | undefined,
  now: task.Instant,
): Step {
  const known = state.watches.get(kind);
  const watch: Watch = {
    kind,
    pace: pace ?? known?.pace ?? DEFAULT_PACE,
    subscribers: [...(known?.subscribers ?? []), subscriber],
    run: state.nextRun,
    position: startOfListing(now),
    failures: 0,
    confirmedAt: NEVER,
    unchangedAt: NEVER,
    changedAt: 0,
    reached: 0,
    copyUntilMs: -Infinity,
    known: new Map(),
    isCatchingUp: false,
    caughtUpAtMs: -Infinity,
    gap: undefined,
  };
  const next = withWatch({ ...state, nextRun: state.nextRun + 1 }, watch);
  return { state: next, commands: [fetchCommand(watch)] };
}

/** Takes effect with the next call to the store. */
export function setPace(state: State, kind: string, pace: platform.WatchPacing): Step {
  const known = state.watches.get(kind);
  return { state: known ? withWatch(state, { ...known, pace }) : state, commands: [] };
}

export function removeSubscriber(
  state: State,
  kind: string,
  changed: task.Address<platform.PlatformWatchUpdated>,
): Step {
  const known = state.watches.get(kind);
  if (!known) return { state, commands: [] };
  const subscribers = known.subscribers.filter((each) => each.changed !== changed);
  if (subscribers.length === 0) {
    const watches = new Map(state.watches);
    watches.delete(kind);
    return { state: { ...state, watches }, commands: [] };
  }
  return { state: withWatch(state, { ...known, subscribers }), commands: [] };
}

export function fetchCommand({ kind, run, position }: Watch): Command {
  switch (position.kind) {
    case 'listing':
      return { kind: 'fetch-page', objectKind: kind, run, after: position.after };
    case 'watching':
      return {
        kind: 'fetch-updates',
        objectKind: kind,
        run,
        revision: position.revision,
        waitMs: position.waitMs,
      };
    default:
      return results.assertNever(position);
  }
}

/** A call that asks for what is there already, and is answered at once. */
export const WITHOUT_WAIT_MS = 1;

/**
 * Sets the send time for the first page of a listing and for each watch; later pages keep it. `waitMs`: how
 * long the platform may hold the watch.
 */
export function withSendTime(watch: Watch, now: task.Instant, waitMs = watch.pace.waitMs): Watch {
  const { position } = watch;
  switch (position.kind) {
    case 'listing':
      if (position.after !== undefined) return watch;
      return { ...watch, position: { ...position, askedAt: now } };
    case 'watching':
      return { ...watch, position: { ...position, askedAt: now, waitMs } };
    default:
      return results.assertNever(position);
  }
}

export function startOfListing(now: task.Instant): Position {
  return { kind: 'listing', askedAt: now, after: undefined, found: [], revision: undefined };
}

/**
 * When the store surely had no more than what it answered. It answers a watch as soon as there is a
 * change, so one that it answers without any after the whole wait was up to date at the end of the wait.
 */
export function answeredAsOf(
  waitMs: number,
  askedAt: task.Instant,
  hasChanges: boolean,
  now: task.Instant,
): task.Instant {
  const { monotonicMs, wallMs } = askedAt;
  const isHeldToTheEnd = now.monotonicMs - monotonicMs >= waitMs;
  if (hasChanges || !isHeldToTheEnd) return askedAt;
  return {
    monotonicMs: monotonicMs + waitMs,
    wallMs: Math.min(wallMs + waitMs, now.wallMs),
  };
}

/** Tells the readers task how far this instance knows the kind. */
export function positionCommands(
  { kind: objectKind, position, changedAt }: Watch,
  askedAt: task.Instant,
): readonly Command[] {
  if (position.kind !== 'watching') return [];
  const { revision } = position;
  return [{ kind: 'share-position', position: { objectKind, revision, changedAt, askedAt } }];
}
