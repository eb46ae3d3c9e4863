/** Messages to and from the task that knows at which software version streams began. */
import type * as discovery from '../fleet/discovery.js';
import type * as task from '../kernel/task.js';
import type * as origin from '../stream-origins/origin.js';
import type * as platform from './platform.js';
import type * as taskLifecycle from './task-lifecycle.js';

export type OriginFound = { type: 'stream-origins.found'; origin: origin.Origin };

export type OriginAddress = task.Address<OriginFound>;

export type StreamOriginsMessage =
  | taskLifecycle.LifecycleMessage
  | platform.PlatformListed
  | platform.PlatformAnswered
  /** See `PlatformWatchUpdated` for `askedAt`. */
  | { type: 'stream-origins.upstreams-listed'; update: discovery.Update; askedAt: task.Instant }
  /** The longest that a stream that may be taken up can take, on any route. */
  | { type: 'stream-origins.routes-adopted'; longestStreamMs: number }
  | { type: 'stream-origins.members-changed'; instances: number }
  /** A stream is sent to an upstream of the software version; `endsAtMs` is monotonic. */
  | {
      type: 'stream-origins.begun';
      stream: string;
      service: string;
      version: string;
      endsAtMs: number;
    }
  | {
      type: 'stream-origins.find';
      requestId: string;
      stream: string;
      service: string;
      replyTo: OriginAddress;
    }
  | { type: 'stream-origins.wake' };
