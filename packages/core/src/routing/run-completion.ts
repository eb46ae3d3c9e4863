/** After a run: the directory is corrected, and what is worth keeping goes to stores. */
import * as keptContext from '../kept-context/index.js';
import type * as task from '../kernel/task.js';
import * as links from '../links/index.js';
import type * as messages from '../messages/index.js';
import type * as state from './state.js';

/** Takes in what a completed run reused, and decides what to export of its prompt. */
export function onCompleted(
  held: state.State,
  placed: state.InFlightRequest,
  outline: messages.PromptOutline,
  reusedTokens: number,
  now: task.Instant,
): readonly state.Command[] {
  const { upstream, reusePieces } = placed;
  const reused = Math.floor(reusedTokens / keptContext.PIECE_TOKENS);
  const { directory } = held;
  const applied = keptContext.directory.applyReuse(
    directory,
    upstream,
    outline.pieces,
    reusePieces,
    reused,
  );
  const resynchronize: readonly state.Command[] =
    applied === 'gap' ? [{ kind: 'request-engine-snapshot', upstream }] : [];
  return [...resynchronize, ...planExports(held, upstream, outline.pieces, now)];
}

function planExports(
  held: state.State,
  upstream: string,
  pieces: readonly keptContext.PieceName[],
  now: task.Instant,
): readonly state.Command[] {
  const { configuration } = held;
  if (!configuration) return [];
  const home = held.fleet.byName.get(upstream)?.dataCentre ?? '';
  const views: keptContext.retention.Inputs = {
    stores: configuration.stores,
    directory: held.directory,
    reuseHistory: held.reuseHistory,
    pieceBytes: held.links.pieceBytes,
    nowMs: now.monotonicMs,
  };
  return keptContext.retention
    .plan(views, home, pieces)
    .flatMap((keeping) => [
      ...keeping.evicted.map((manifest): state.Command => ({ kind: 'drop-piece', manifest })),
      ...links.onExport(held.links, exportOrder(held, upstream, keeping), now.monotonicMs),
    ]);
}

function exportOrder(
  held: state.State,
  upstream: string,
  { store, pieces, tier }: keptContext.retention.StorePlan,
): messages.ExportOrder {
  const { nextExportId } = held;
  Object.assign(held, { nextExportId: nextExportId + 1 });
  const { name, address } = store;
  const exportId = String(nextExportId);
  return { exportId, upstream, store: name, storeAddress: address, pieces, tier };
}
