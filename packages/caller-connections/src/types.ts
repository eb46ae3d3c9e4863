/** What the server of the callers asks of their connections. */
import type * as http from 'node:http';

import type * as processMemory from '@medlarweir/process-memory';

import type * as answers from './answers.js';
import type * as holdings from './holdings.js';
import type * as turns from './turns.js';

/** All in ms; callers that keep within them are never cut. */
export type Limits = {
  /** From the first byte of a head to its end. */
  headMs: number;
  /** From the end of a head to that of the body. */
  bodyMs: number;
  /** Without a byte of a request. */
  idleMs: number;
};

export type Ended = {
  reason: answers.Fault | 'behind-a-request';
  /** Of the HTTP parser; empty if a limit was passed. */
  code: string;
  /** 0 if the connection got no answer of its own. */
  status: number;
  /** Bytes that had been read from it; what the system holds unread is not among them. */
  readBytes: number;
  openRequests: number;
};

export type Options = Pick<holdings.Options, 'budget' | 'refuse'> & {
  limits(): Limits;
  /** Beyond them, connections without a request are closed, those of the least use first. */
  maxConnections(): number;
  /** Connections were dropped for want of memory or of connections; called for many at once. */
  onDropped(dropped: holdings.Dropped): void;
  /** Collects what has been read and copied. */
  collector: processMemory.collector.Collector;
  /** What the answer to a connection without a request says, beside its status. */
  errorBody: answers.ErrorBody | undefined;
  onEnded(ended: Ended): void;
};

export type Connections = {
  /** The turn of a request. Undefined if its connection takes none any more; it must not be answered. */
  begin(request: http.IncomingMessage, response: http.ServerResponse): turns.Turn | undefined;
  /** Stops accepting connections and closes idle ones. Calls back once the others are closed, too. */
  stop(onClosed?: () => void): void;
  /** Closes all, also those with a request in flight. */
  closeAll(): void;
};
