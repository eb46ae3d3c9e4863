/**
 * Schedules transfers on each store's link: short work first, then the client account that was
 * served least for its share. An import that would be later than recomputing is cancelled, whether
 * queued or in flight. Exports wait until no import needs the link. Updated in place by the routing
 * task, its only owner.
 */
import type * as schema from '../configuration/schema.js';
import type * as task from '../kernel/task.js';
import type * as messages from '../messages/index.js';
import * as results from '../results/index.js';
import * as rates from './rate-estimate.js';

/** Imports of one instance that are in flight on a link at a time. */
export const MAX_ACTIVE_IMPORTS = 4;
/** Exports queued for one link; the oldest are dropped first. */
export const MAX_WAITING_EXPORTS = 256;
/** Pieces per export; kept small so that an import soon has the link to itself. */
export const MAX_PIECES_PER_EXPORT = 4;
/** Timeout of an import whose order has none. */
export const DEFAULT_LATE_MS = 30_000;

export type Import = {
  order: messages.ImportOrder;
  replyTo: task.Address<messages.ImportReport>;
  bytes: number;
  lateAtMs: number;
};

type Link = {
  configuredBytesPerS: number;
  rate: rates.RateEstimate;
  /** When bytes were last counted while the link was busy, or the link was last idle. */
  lastSampleAtMs: number;
  waiting: Import[];
  activeImports: Map<string, Import>;
  waitingExports: messages.ExportOrder[];
  activeExport: { exportId: string; bytes: number } | undefined;
  /** Bytes served to each client account, divided by its share; the least goes first. */
  servedBytesPerShare: Map<string, number>;
};

export type Links = {
  byStore: Map<string, Link>;
  accountShares: ReadonlyMap<string, number>;
  pieceBytes: number;
};

export type Command =
  | { kind: 'start-import'; order: messages.ImportOrder }
  | { kind: 'cancel-import'; runId: string; upstream: string }
  | {
      kind: 'reply-import';
      replyTo: task.Address<messages.ImportReport>;
      message: messages.ImportReport;
    }
  | { kind: 'start-export'; order: messages.ExportOrder }
  /** Requests a call of `onLateCheck` when the next import becomes late. */
  | { kind: 'schedule-late-check'; delayMs: number };

export function create(): Links {
  return { byStore: new Map(), accountShares: new Map(), pieceBytes: 0 };
}

/** Applies the stores' link rates and the client accounts' shares. */
export function applyConfiguration(
  state: Links,
  configuration: schema.Configuration,
  pieceBytes: number,
): void {
  const shares = configuration.clientAccounts.map(({ name, share }) => [name, share] as const);
  Object.assign(state, { accountShares: new Map(shares), pieceBytes });
  configuration.stores.forEach(({ name, linkBytesPerS }) => {
    linkOf(state, name).configuredBytesPerS = linkBytesPerS;
  });
}

function linkOf(state: Links, store: string): Link {
  const found: Link = state.byStore.get(store) ?? {
    configuredBytesPerS: 1,
    rate: rates.unknownRate,
    lastSampleAtMs: 0,
    waiting: [],
    activeImports: new Map(),
    waitingExports: [],
    activeExport: undefined,
    servedBytesPerShare: new Map(),
  };
  state.byStore.set(store, found);
  return found;
}

const PRIORITY_RANK: Record<schema.Priority, number> = { short: 0, normal: 1, long: 2 };

function priorityRankOf(order: messages.ImportOrder): number {
  return PRIORITY_RANK[order.priority ?? 'normal'];
}

/** Returns the expected time until an import of this size and priority, requested now, is done. */
export function estimateImportMs(
  state: Links,
  store: string,
  priority: schema.Priority,
  bytes: number,
  nowMs: number,
): number {
  const link = linkOf(state, store);
  const ahead = [...link.activeImports.values(), ...link.waiting].filter(
    ({ order }) => priorityRankOf(order) <= PRIORITY_RANK[priority],
  );
  const aheadBytes = ahead.reduce((sum, each) => sum + each.bytes, 0);
  const rate = rates.estimateBytesPerS(link.rate, link.configuredBytesPerS, nowMs);
  return ((aheadBytes + bytes) / rate) * 1_000;
}

export function onImport(
  state: Links,
  order: messages.ImportOrder,
  replyTo: task.Address<messages.ImportReport>,
  nowMs: number,
): readonly Command[] {
  const store = order.manifests[0]?.store ?? '';
  const link = linkOf(state, store);
  const bytes = order.manifests.length * state.pieceBytes;
  const lateAtMs = nowMs + (order.importTimeoutMs ?? DEFAULT_LATE_MS);
  link.waiting.push({ order, replyTo, bytes, lateAtMs });
  return [...startNext(state, link, nowMs), ...scheduleLateCheck(state, nowMs)];
}

/** Forwards the engine's report on an import and starts the next transfer. */
export function onImportReport(
  state: Links,
  message: messages.ImportReport,
  nowMs: number,
): readonly Command[] {
  const link = [...state.byStore.values()].find(({ activeImports }) =>
    activeImports.has(message.runId),
  );
  const ended = link?.activeImports.get(message.runId);
  if (!link || !ended) return [];
  link.activeImports.delete(message.runId);
  if (message.type === 'import.finished') recordTransfer(link, ended.bytes, nowMs);
  return [
    { kind: 'reply-import', replyTo: ended.replyTo, message },
    ...startNext(state, link, nowMs),
  ];
}

/** Queues an export in small parts, so that imports can go between them. */
export function onExport(
  state: Links,
  order: messages.ExportOrder,
  nowMs: number,
): readonly Command[] {
  const link = linkOf(state, order.store);
  for (let at = 0; at < order.pieces.length; at += MAX_PIECES_PER_EXPORT) {
    const pieces = order.pieces.slice(at, at + MAX_PIECES_PER_EXPORT);
    link.waitingExports.push({ ...order, exportId: `${order.exportId}.${at}`, pieces });
  }
  link.waitingExports.splice(0, Math.max(0, link.waitingExports.length - MAX_WAITING_EXPORTS));
  return startNext(state, link, nowMs);
}

export function onExportReport(
  state: Links,
  message: messages.ExportReport,
  nowMs: number,
): readonly Command[] {
  const link = [...state.byStore.values()].find(
    ({ activeExport }) => activeExport?.exportId === message.exportId,
  );
  if (!link?.activeExport) return [];
  if (message.type === 'export.finished') {
    recordTransfer(link, message.pieces.length * state.pieceBytes, nowMs);
  }
  Object.assign(link, { activeExport: undefined });
  return startNext(state, link, nowMs);
}

/** Cancels the imports of a request that has ended. They get no reply: nothing waits for one. */
export function cancelImportsOf(
  state: Links,
  requestId: string,
  nowMs: number,
): readonly Command[] {
  const isOwn = ({ order }: Import) => order.runId.startsWith(`${requestId}.`);
  return [...state.byStore.values()].flatMap((link) => {
    const active = [...link.activeImports.values()].filter(isOwn);
    const waiting = link.waiting.filter((each) => !isOwn(each));
    if (active.length === 0 && waiting.length === link.waiting.length) return [];
    Object.assign(link, { waiting });
    active.forEach(({ order }) => link.activeImports.delete(order.runId));
    const cancelled = active.map(({ order }): Command => {
      const { runId, upstream } = order;
      return { kind: 'cancel-import', runId, upstream };
    });
    return [...cancelled, ...startNext(state, link, nowMs)];
  });
}

/** Handles a silent store: its queued imports fail at once and its queued exports are dropped. */
export function onStoreSilent(state: Links, store: string, nowMs: number): readonly Command[] {
  const link = linkOf(state, store);
  const { waiting } = link;
  Object.assign(link, { waiting: [], waitingExports: [] });
  return [...waiting.map(replyLate), ...startNext(state, link, nowMs)];
}

/** Cancels imports that have become late, because recomputing serves the prompt sooner. */
export function onLateCheck(state: Links, nowMs: number): readonly Command[] {
  const cancelled = [...state.byStore.values()].flatMap((link) => cancelLate(state, link, nowMs));
  const started = [...state.byStore.values()].flatMap((link) => startNext(state, link, nowMs));
  return [...cancelled, ...started, ...scheduleLateCheck(state, nowMs)];
}

function cancelLate(state: Links, link: Link, nowMs: number): readonly Command[] {
  const lateWaiting = link.waiting.filter(({ lateAtMs }) => lateAtMs <= nowMs);
  const lateActive = [...link.activeImports.values()].filter(({ lateAtMs }) => lateAtMs <= nowMs);
  Object.assign(link, { waiting: link.waiting.filter(({ lateAtMs }) => lateAtMs > nowMs) });
  lateActive.forEach(({ order }) => link.activeImports.delete(order.runId));
  // A link on which nothing arrived in time is slower than estimated.
  if (lateActive.length > 0) recordTransfer(link, 0, nowMs);
  const aborted = lateActive.map(({ order }): Command => {
    const { runId, upstream } = order;
    return { kind: 'cancel-import', runId, upstream };
  });
  return [...aborted, ...[...lateWaiting, ...lateActive].map(replyLate)];
}

function replyLate({ order, replyTo }: Import): Command {
  const failure = results.failure('importLate', 'recomputing is faster than the link');
  return {
    kind: 'reply-import',
    replyTo,
    message: { type: 'import.failed', runId: order.runId, failure },
  };
}

function recordTransfer(link: Link, bytes: number, nowMs: number): void {
  const elapsedMs = nowMs - link.lastSampleAtMs;
  Object.assign(link, {
    rate: rates.addSample(link.rate, bytes, elapsedMs, nowMs),
    lastSampleAtMs: nowMs,
  });
}

/** Starts imports up to the limit, and an export if no import needs the link. */
function startNext(state: Links, link: Link, nowMs: number): readonly Command[] {
  const commands: Command[] = [];
  const isIdle = link.activeImports.size === 0 && !link.activeExport;
  if (isIdle) Object.assign(link, { lastSampleAtMs: nowMs });
  while (link.activeImports.size < MAX_ACTIVE_IMPORTS && link.waiting.length > 0) {
    const next = takeNext(state, link);
    if (!next) break;
    link.activeImports.set(next.order.runId, next);
    commands.push({ kind: 'start-import', order: next.order });
  }
  if (link.activeImports.size > 0 || link.activeExport) return commands;
  const order = link.waitingExports.shift();
  if (!order) return commands;
  const bytes = order.pieces.length * state.pieceBytes;
  Object.assign(link, { activeExport: { exportId: order.exportId, bytes } });
  return [...commands, { kind: 'start-export', order }];
}

/** Removes and returns the most urgent import, at equal priority of the least served account. */
function takeNext(state: Links, link: Link): Import | undefined {
  const least = Math.min(...[...link.servedBytesPerShare.values(), Infinity]);
  const servedOf = ({ order }: Import) =>
    link.servedBytesPerShare.get(order.clientAccount ?? '') ?? (Number.isFinite(least) ? least : 0);
  const next = link.waiting.reduce((best, each) => {
    const byRank = priorityRankOf(each.order) - priorityRankOf(best.order);
    if (byRank !== 0) return byRank < 0 ? each : best;
    return servedOf(each) < servedOf(best) ? each : best;
  });
  link.waiting.splice(link.waiting.indexOf(next), 1);
  const account = next.order.clientAccount ?? '';
  const share = state.accountShares.get(account) ?? 1;
  link.servedBytesPerShare.set(account, servedOf(next) + next.bytes / share);
  return next;
}

/** Schedules a check for the earliest time at which an import becomes late. */
function scheduleLateCheck(state: Links, nowMs: number): readonly Command[] {
  const lateAt = [...state.byStore.values()]
    .flatMap(({ waiting, activeImports }) => [...waiting, ...activeImports.values()])
    .map(({ lateAtMs }) => lateAtMs);
  if (lateAt.length === 0) return [];
  return [{ kind: 'schedule-late-check', delayMs: Math.max(0, Math.min(...lateAt) - nowMs) }];
}
