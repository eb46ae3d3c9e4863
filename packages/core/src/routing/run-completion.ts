/** Handles completed runs: corrects the directory and plans exports of pieces worth keeping. */
import * as keptContext from '../kept-context/index.js';
import type * as task from '../kernel/task.js';
import * as links from '../links/index.js';
import type * as messages from '../messages/index.js';
import type * as routing from './state.js';

/** Applies a completed run's reuse to the directory and decides what to export of its prompt. */
export function onCompleted(
  state: routing.State,
  placed: routing.InFlightRequest,
  outline: messages.PromptOutline,
  reusedTokens: number,
  now: task.Instant,
): readonly routing.Command[] {
  const { upstream, reusePieces } = placed;
  const reused = Math.floor(reusedTokens / keptContext.PIECE_TOKENS);
  const { directory } = state;
  const applied = keptContext.directory.applyReuse(
    directory,
    upstream,
    outline.pieces,
    reusePieces,
    reused,
  );
  const resynchronize: readonly routing.Command[] =
    applied === 'gap' ? [{ kind: 'request-engine-snapshot', upstream }] : [];
  return [...resynchronize, ...planExports(state, upstream, outline.pieces, now)];
}

function planExports(
  state: routing.State,
  upstream: string,
  pieces: readonly keptContext.PieceName[],
  now: task.Instant,
): readonly routing.Command[] {
  const { configuration } = state;
  if (!configuration) return [];
  const dataCentre = state.fleet.byName.get(upstream)?.dataCentre ?? '';
  const inputs: keptContext.retention.Inputs = {
    stores: configuration.stores,
    directory: state.directory,
    reuseHistory: state.reuseHistory,
    pieceBytes: state.links.pieceBytes,
    nowMs: now.monotonicMs,
  };
  return keptContext.retention
    .plan(inputs, dataCentre, pieces)
    .flatMap((storePlan) => [
      ...storePlan.evicted.map((manifest): routing.Command => ({ kind: 'drop-piece', manifest })),
      ...links.onExport(state.links, exportOrder(state, upstream, storePlan), now.monotonicMs),
    ]);
}

function exportOrder(
  state: routing.State,
  upstream: string,
  { store, pieces, tier }: keptContext.retention.StorePlan,
): messages.ExportOrder {
  const { nextExportId } = state;
  Object.assign(state, { nextExportId: nextExportId + 1 });
  const { name, address } = store;
  const exportId = String(nextExportId);
  return { exportId, upstream, store: name, storeAddress: address, pieces, tier };
}
