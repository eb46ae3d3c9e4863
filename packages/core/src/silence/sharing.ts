/**
 * Decides what an instance tells its peers of upstreams that do not answer. What changes is sent at once,
 * through the readers; while there is something to tell, it is repeated with each tick.
 */
import type * as peerWork from '../fleet/peer-work.js';
import type * as fleet from '../fleet/state.js';
import type * as task from '../kernel/task.js';
import * as results from '../results/index.js';
import * as rows from './rows.js';
import type * as types from './types.js';

/** Keeps an update within one packet; with more silent upstreams, the rest is found by each instance. */
const MAX_ROWS = 30;

type Part = { scope: peerWork.Scope; summedUp: readonly peerWork.Scope[] };

/** Instances that all tell each other see enough of each upstream themselves. */
function partsOf({ sharing }: fleet.State): readonly Part[] {
  switch (sharing) {
    case 'with-all':
      return [];
    case 'through-reader':
      return [{ scope: 'own', summedUp: [] }];
    case 'as-reader':
      return [
        { scope: 'group', summedUp: ['own'] },
        { scope: 'fleet', summedUp: ['own', 'group'] },
      ];
    default:
      return results.assertNever(sharing);
  }
}

/** The updates that are due: those that differ from what was sent, and on a tick all that hold a row. */
export function takeUpdates(state: fleet.State, isTick: boolean): readonly types.Update[] {
  const { sent } = state.silence;
  return partsOf(state).flatMap(({ scope, summedUp }) => {
    const told = rows.total(state, summedUp).slice(0, MAX_ROWS);
    const text = told.map(textOf).join();
    const isChanged = text !== (sent.get(scope) ?? '');
    if (!isChanged && !(isTick && told.length > 0)) return [];
    sent.set(scope, text);
    return [{ from: state.instance, scope, rows: told }];
  });
}

function textOf({ upstream, reporters }: types.Row): string {
  const counts = [...reporters].sort(([a], [b]) => (a < b ? -1 : 1));
  return [upstream, ...counts.flat()].join(' ');
}

/** Scopes that count, as for updates about work. */
const SCOPES_HEARD: Readonly<Record<peerWork.Sharing, readonly peerWork.Scope[]>> = {
  'with-all': [],
  'through-reader': ['fleet'],
  'as-reader': ['own', 'group'],
};

/**
 * Stores what a peer tells. A sum over the whole fleet may count this instance twice, which makes no
 * difference: it has found the silence itself.
 */
export function receive(
  state: fleet.State,
  { from, scope, rows: told }: types.Update,
  now: task.Instant,
): void {
  if (from === state.instance || !SCOPES_HEARD[state.sharing].includes(scope)) return;
  state.silence.heardFrom.set(from, { scope, receivedAtMs: now.monotonicMs, rows: told });
}

/**
 * Drops what came another way than updates are exchanged from now on. Readers are chosen anew with each
 * configuration, mostly without a change.
 */
export function withSharing(
  { silence, sharing: before }: fleet.State,
  sharing: peerWork.Sharing,
): void {
  if (sharing === before) return;
  silence.heardFrom.clear();
  silence.sent.clear();
}
