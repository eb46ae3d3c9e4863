/** Decides whether what callers hold fits into memory, and whose connections end if it does not. */

/** In bytes of memory, by what it costs the process and not by what was received. */
export type Budget = {
  /** What one connection may hold, however little the others do. */
  connectionBytes: number;
  /** What all connections may hold together. */
  processBytes: number;
};

export type Verdict =
  { kind: 'fits' } | { kind: 'connection-over' } | { kind: 'process-over'; excessBytes: number };

/** What ending a connection gives back. */
export type Holder<Key> = { key: Key; peer: string; bytes: number; heldMs: number };

export type ConnectionUse = 'half-a-head' | 'unused' | 'kept' | 'in-use';
export type Idle<Key> = { key: Key; use: ConnectionUse; waitedMs: number };

/**
 * Share of the budget that is freed beyond the excess, so that the connections are looked through once for
 * many received chunks.
 */
const FREED_SHARE = 0.1;
/** A request that is still arriving is compared by size only until then. */
const MIN_HELD_MS = 100;

export function judge(budget: Budget, connectionBytes: number, processBytes: number): Verdict {
  if (connectionBytes > budget.connectionBytes) return { kind: 'connection-over' };
  const excessBytes = processBytes - budget.processBytes;
  if (excessBytes <= 0) return { kind: 'fits' };
  return { kind: 'process-over', excessBytes: excessBytes + budget.processBytes * FREED_SHARE };
}

/**
 * The holders to end until the excess is freed: of the peer's address that holds the most for the longest
 * first, and of each address the connection that does. An upload that goes on ends soon, and has held its
 * bytes for a short time; one that stopped short of its end weighs more with each second. Callers behind
 * one address, such as a balancer's, are compared with each other in the same way.
 */
export function choose<Key>(
  holders: readonly Holder<Key>[],
  excessBytes: number,
): readonly Holder<Key>[] {
  const byPeer = new Map<string, number>();
  holders.forEach((each) => {
    byPeer.set(each.peer, (byPeer.get(each.peer) ?? 0) + weightOf(each));
  });
  const peerWeight = ({ peer }: Holder<Key>) => byPeer.get(peer) ?? 0;
  const ordered = holders
    .filter(({ bytes }) => bytes > 0)
    .sort((a, b) => peerWeight(b) - peerWeight(a) || weightOf(b) - weightOf(a));
  const chosen: Holder<Key>[] = [];
  let freed = 0;
  for (let at = 0; at < ordered.length && freed < excessBytes; at += 1) {
    const holder = ordered[at];
    if (holder) {
      chosen.push(holder);
      freed += holder.bytes;
    }
  }
  return chosen;
}

function weightOf({ bytes, heldMs }: Holder<unknown>): number {
  return bytes * Math.max(heldMs, MIN_HELD_MS);
}

/** The connections without a request to close where too many are open: those of the least use first. */
export function chooseIdle<Key>(all: readonly Idle<Key>[], count: number): readonly Idle<Key>[] {
  return all
    .filter(({ use }) => use !== 'in-use')
    .sort((a, b) => rankOf(a.use) - rankOf(b.use) || b.waitedMs - a.waitedMs)
    .slice(0, count);
}

function rankOf(use: ConnectionUse): number {
  switch (use) {
    case 'half-a-head':
      return 0;
    case 'unused':
      return 1;
    case 'kept':
      return 2;
    case 'in-use':
      return 3;
    default:
      throw new Error(`unexpected use: ${JSON.stringify(use satisfies never)}`);
  }
}
