/** State of the task that knows where streams began. Updated in place, since only that task sees it. */
import type * as task from '../kernel/task.js';
import type * as messages from '../messages/stream-origins.js';

export type Stream = { service: string; version: string; endsAtMs: number };

export type Ask = {
  requestId: string;
  stream: string;
  service: string;
  askedAtMs: number;
  replyTo: messages.OriginAddress;
};

/** Until when streams of a version may be taken up, in monotonic ms. */
export type Serving = {
  /** By what this instance knows itself; infinite while the version is listed. */
  untilMs: number;
  /** By what others have recorded. Not extended by reading it again. */
  recordedUntilMs: number;
};

export type Listing = { kind: 'idle' } | { kind: 'under-way'; beganAtMs: number };

/** The writes of this instance's object. */
export type Writing = {
  isUnderWay: boolean;
  beganAt: task.Instant | undefined;
  /** Infinite if there is nothing to write. */
  dueAtMs: number;
  /** Version of the object; 0 while there is none. */
  objectVersion: number;
  hasContent: boolean;
  /** Versions, by `serving.nameOf`, that the object in the store names, whether or not the write under way arrives. */
  recordedVersions: ReadonlySet<string>;
  /** When that object was written. */
  recordedAt: task.Instant | undefined;
  /** Those of the write under way. */
  versionsInWrite: ReadonlySet<string>;
};

export type State = {
  instance: string;
  /** Service and software version by id of the upstream, as listed. */
  listed: Map<string, { service: string; version: string }>;
  /** At least as recent as this moment; undefined before the first list. */
  listedAt: task.Instant | undefined;
  /** By service and software version. */
  serving: Map<string, Map<string, Serving>>;
  /** The streams that this instance began or took up, by the id of the attempt that began them. */
  streams: Map<string, Stream>;
  /** What all instances had written at the last listing; undefined where they differ. */
  recorded: ReadonlyMap<string, string | undefined>;
  hasListed: boolean;
  /** When the last listing that was answered began, in monotonic ms. */
  recordsReadAtMs: number;
  listing: Listing;
  lastListingAtMs: number;
  asks: Ask[];
  writing: Writing;
  /** Versions, by `serving.nameOf`, that were the only one of their service since they came. */
  soleVersions: Set<string>;
  /** What the fleet was told last, as text. */
  toldVersions: string;
  /** The longest that a stream of a route may take. */
  longestStreamMs: number;
  instances: number;
};

/** `isFirstStart`: the whole deployment starts for the first time, so nothing has been written. */
export function initial(instance: string, isFirstStart = false): State {
  return {
    instance,
    listed: new Map(),
    listedAt: undefined,
    serving: new Map(),
    streams: new Map(),
    recorded: new Map(),
    hasListed: isFirstStart,
    recordsReadAtMs: -Infinity,
    listing: { kind: 'idle' },
    lastListingAtMs: -Infinity,
    asks: [],
    writing: {
      isUnderWay: false,
      beganAt: undefined,
      dueAtMs: Infinity,
      objectVersion: 0,
      hasContent: false,
      recordedVersions: new Set(),
      recordedAt: undefined,
      versionsInWrite: new Set(),
    },
    soleVersions: new Set(),
    toldVersions: '',
    longestStreamMs: 0,
    instances: 1,
  };
}
