/**
 * Shares each store's link: short work first, then the client account that has had least for its
 * share. An import that would come later than recomputing is cancelled, queued or under way.
 * Exports wait until no import wants the link. Updated in place by the routing task, which alone
 * owns it.
 */
import type * as schema from '../configuration/schema.js';
import type * as task from '../kernel/task.js';
import type * as messages from '../messages/index.js';
import * as results from '../results/index.js';
import * as rates from './rate-estimate.js';

/** Imports of one instance that share a link at once. */
export const MAX_ACTIVE_IMPORTS = 4;
/** Exports that wait for one link; the oldest are given up first. */
export const MAX_WAITING_EXPORTS = 256;
/** Pieces that one export moves at a time, so that an import soon has the link to itself. */
export const MAX_PIECES_PER_EXPORT = 4;
/** Pieces whose import takes longer than this are tried no further without a deadline of their own. */
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
  /** When bytes were last counted while the link was busy. */
  lastSampleAtMs: number;
  waiting: Import[];
  activeImports: Map<string, Import>;
  waitingExports: messages.ExportOrder[];
  activeExport: { exportId: string; bytes: number } | undefined;
  /** Bytes over weight that each account has had; the least goes first. */
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
  /** Asks to be woken by `onWake` when the next import becomes late. */
  | { kind: 'schedule-late-check'; delayMs: number };

export function create(): Links {
  return { byStore: new Map(), accountShares: new Map(), pieceBytes: 0 };
}

/** Takes in stores, their rates, and the accounts' shares. */
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

const RANK: Record<schema.Priority, number> = { short: 0, normal: 1, long: 2 };

function rankOf(order: messages.ImportOrder): number {
  return RANK[order.priority ?? 'normal'];
}

/** Expected time until an import of this size and priority is done, if it were asked for now. */
export function estimateImportMs(
  state: Links,
  store: string,
  priority: schema.Priority,
  bytes: number,
  nowMs: number,
): number {
  const link = linkOf(state, store);
  const ahead = [...link.activeImports.values(), ...link.waiting].filter(
    ({ order }) => rankOf(order) <= RANK[priority],
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

/** Passes on what the engine says of an import, and gives the link to the next. */
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

/** Queues exports, in small parts that give way to imports. */
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

/** The request has ended: its import is of no use to anybody. Nobody is told. */
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

/** A store does not answer: what waits for it is told at once, what it was to keep is given up. */
export function onStoreSilent(state: Links, store: string, nowMs: number): readonly Command[] {
  const link = linkOf(state, store);
  const { waiting } = link;
  Object.assign(link, { waiting: [], waitingExports: [] });
  return [...waiting.map(replyLate), ...startNext(state, link, nowMs)];
}

/** Cancels what has become late: the prompt is better served by recomputing. */
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
  // A link on which nothing arrived in time is slower than was thought.
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
  const ms = nowMs - link.lastSampleAtMs;
  Object.assign(link, {
    rate: rates.addSample(link.rate, bytes, ms, nowMs),
    lastSampleAtMs: nowMs,
  });
}

/** Starts imports while there is room, and an export if no import wants the link. */
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

/** The most urgent import of the account that has had least for its share. */
function takeNext(state: Links, link: Link): Import | undefined {
  const least = Math.min(...[...link.servedBytesPerShare.values(), Infinity]);
  const servedOf = ({ order }: Import) =>
    link.servedBytesPerShare.get(order.clientAccount ?? '') ?? (Number.isFinite(least) ? least : 0);
  const next = link.waiting.reduce((best, each) => {
    const byRank = rankOf(each.order) - rankOf(best.order);
    if (byRank !== 0) return byRank < 0 ? each : best;
    return servedOf(each) < servedOf(best) ? each : best;
  });
  link.waiting.splice(link.waiting.indexOf(next), 1);
  const account = next.order.clientAccount ?? '';
  const share = state.accountShares.get(account) ?? 1;
  link.servedBytesPerShare.set(account, servedOf(next) + next.bytes / share);
  return next;
}

/** Wakes at the earliest moment at which an import becomes late. */
function scheduleLateCheck(state: Links, nowMs: number): readonly Command[] {
  const lateAt = [...state.byStore.values()]
    .flatMap(({ waiting, activeImports }) => [...waiting, ...activeImports.values()])
    .map(({ lateAtMs }) => lateAtMs);
  if (lateAt.length === 0) return [];
  return [{ kind: 'schedule-late-check', delayMs: Math.max(0, Math.min(...lateAt) - nowMs) }];
}
