/** What instances tell each other of upstreams that do not answer. */
import type * as peerWork from '../fleet/peer-work.js';

/** One upstream that does not answer, and how many instances of each data centre have found that. */
export type Row = { upstream: string; reporters: ReadonlyMap<string, number> };

/** All rows of the sender, for its scope; they replace those of its update before. */
export type Update = { from: string; scope: peerWork.Scope; rows: readonly Row[] };

export type Heard = { scope: peerWork.Scope; receivedAtMs: number; rows: readonly Row[] };

/** Updated in place. */
export type State = {
  heardFrom: Map<string, Heard>;
  /** Upstreams that get no requests as peers have found them silent, and since when, in monotonic ms. */
  reported: Map<string, number>;
  /** What was last sent, as text by scope; empty if there was nothing to tell. */
  sent: Map<peerWork.Scope, string>;
};

export function create(): State {
  return { heardFrom: new Map(), reported: new Map(), sent: new Map() };
}
