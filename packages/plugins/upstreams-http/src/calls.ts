/**
 * Single HTTP calls to upstreams: plain service calls, imports, exports, orders and run
 * cancellation.
 */
import * as core from '@medlarweir/core';
import * as lineFeed from '@medlarweir/line-feed';
import * as undici from 'undici';

import * as bodies from './bodies.js';
import type * as pools from './pools.js';
import * as wire from './wire.js';

/** Timeout of an import or export of pieces. */
const TRANSFER_TIMEOUT_MS = 30_000;
const ORDER_TIMEOUT_MS = 5_000;

const LAST_STATUS = 599;

type HttpResponse = { status: number; text: string };

async function post(
  connectionPools: pools.Pools,
  address: string,
  path: string,
  body: unknown,
  timeoutMs: number,
  cancelSignal?: AbortSignal,
): Promise<HttpResponse> {
  const timeoutSignal = AbortSignal.timeout(timeoutMs);
  const response = await undici.request(`http://${address}${path}`, {
    method: 'POST',
    dispatcher: connectionPools.poolFor(address),
    signal: cancelSignal ? AbortSignal.any([timeoutSignal, cancelSignal]) : timeoutSignal,
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify(body),
  });
  const found = await bodies.read(response.body, connectionPools.memory);
  return { status: response.statusCode, text: found.toString('utf8') };
}

export async function importPieces(
  connectionPools: pools.Pools,
  address: string,
  order: core.messages.ImportOrder,
  cancelSignal: AbortSignal,
): Promise<core.messages.ImportReport> {
  const { runId, storeAddress, manifests } = order;
  const failed = (detail: string): core.messages.ImportReport => ({
    type: 'import.failed',
    runId,
    failure: core.results.failure('unsafeRead', detail),
  });
  try {
    const body = { importId: runId, storeAddress, manifests };
    const reply = await post(
      connectionPools,
      address,
      '/v1/kv/import',
      body,
      TRANSFER_TIMEOUT_MS,
      cancelSignal,
    );
    const decoded = reply.status === 200 ? wire.decodeImported(reply.text) : undefined;
    if (!decoded) return failed(`status ${reply.status}`);
    return { type: 'import.finished', runId, seen: decoded.seen };
  } catch (error) {
    return failed(String(error));
  }
}

export async function exportPieces(
  connectionPools: pools.Pools,
  address: string,
  order: core.messages.ExportOrder,
): Promise<core.messages.ExportReport> {
  const { exportId, storeAddress, pieces, tier } = order;
  const failed = (detail: string): core.messages.ExportReport => ({
    type: 'export.failed',
    exportId,
    failure: core.results.failure('upstreamRefused', detail),
  });
  try {
    const body = { storeAddress, pieces, tier };
    const reply = await post(connectionPools, address, '/v1/kv/export', body, TRANSFER_TIMEOUT_MS);
    const decoded = reply.status === 200 ? wire.decodeExported(reply.text) : undefined;
    if (!decoded) return failed(`status ${reply.status}`);
    return { type: 'export.finished', exportId, pieces: decoded.exported };
  } catch (error) {
    return failed(String(error));
  }
}

/** Sends one request to a plain service without retrying it. */
export function callService(
  connectionPools: pools.Pools,
  address: string,
  call: core.messages.PlainCall,
): Promise<core.messages.CallReport> {
  switch (call.connection) {
    case 'new':
      return connectionPools.withNewConnection(address, (ownPool) =>
        callWith(ownPool, connectionPools, address, call),
      );
    case 'pooled':
      return callWith(connectionPools.poolFor(address), connectionPools, address, call);
    default:
      return core.results.assertNever(call.connection);
  }
}

async function callWith(
  dispatcher: undici.Dispatcher,
  connectionPools: pools.Pools,
  address: string,
  call: core.messages.PlainCall,
): Promise<core.messages.CallReport> {
  const { requestId } = call;
  const progress = { hasStatus: false };
  const breaksBefore = connectionPools.breaksOf(dispatcher);
  try {
    const response = await undici.request(`http://${address}${call.path}`, {
      method: call.method,
      dispatcher,
      signal: AbortSignal.timeout(call.timeoutMs),
      headers: { ...call.headers, 'x-request-id': requestId },
      ...(call.body.length === 0 ? {} : { body: call.body }),
    });
    progress.hasStatus = true;
    // Three digits that are no status (RFC 9110, section 15); nothing is known of such an upstream.
    if (response.statusCode > LAST_STATUS) throw new Error(`status ${response.statusCode}`);
    const body = await bodies.read(response.body, connectionPools.memory);
    // The client takes a reset for the end of a response without a length, and does not name its socket.
    const mayBeCut = connectionPools.breaksOf(dispatcher) > breaksBefore;
    if (mayBeCut && !isFramed(response.headers)) throw new Error('response was reset');
    const headers = forwardedHeaders(response.headers);
    return {
      type: 'call.answered',
      requestId,
      answer: { status: response.statusCode, headers, body },
    };
  } catch (error) {
    if (isTimeout(error)) connectionPools.replace(address);
    const sendProgress = sendProgressOf(error, progress.hasStatus);
    const code = sendProgress.kind === 'not-connected' ? 'upstreamUnreachable' : 'outcomeUnknown';
    const failure = core.results.failure(code, String(error));
    return { type: 'call.failed', requestId, progress: sendProgress, failure };
  }
}

function isTimeout(error: unknown): boolean {
  return (error as { name?: unknown }).name === 'TimeoutError';
}

/** Only a connection that was never established proves that no byte was sent. */
function sendProgressOf(error: unknown, hasStatus: boolean): core.messages.SendProgress {
  if (lineFeed.isConnectFailure(error)) return { kind: 'not-connected' };
  return hasStatus ? { kind: 'responding' } : { kind: 'sending' };
}

function isFramed(headers: Record<string, string | string[] | undefined>): boolean {
  return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
}

/** Response headers of a plain service that are forwarded to callers. */
const FORWARDED_RESPONSE_HEADERS = ['content-type', 'location', 'cache-control', 'etag'];

function forwardedHeaders(found: Record<string, string | string[] | undefined>) {
  const forwarded = FORWARDED_RESPONSE_HEADERS.flatMap((name) => {
    const value = found[name];
    return typeof value === 'string' ? [[name, value] as const] : [];
  });
  return Object.fromEntries(forwarded);
}

export async function sendOrder(
  connectionPools: pools.Pools,
  address: string,
  order: core.messages.UpstreamOrder,
): Promise<core.messages.OrderReport> {
  const { orderId, fencing, action } = order;
  try {
    const body = { orderId, fencing, action };
    const reply = await post(connectionPools, address, '/v1/orders', body, ORDER_TIMEOUT_MS);
    if (reply.status === 200) return { type: 'order.accepted', orderId };
    const reason = reply.status === 409 ? 'old-fencing' : 'unsupported';
    return { type: 'order.refused', orderId, reason };
  } catch (error) {
    const failure = core.results.failure('upstreamUnreachable', String(error));
    return { type: 'order.failed', orderId, failure };
  }
}

/**
 * Cancels a run to free the engine. Does not retry: if the cancel is lost, the engine only computes
 * the rest of the run.
 */
export async function cancelRun(
  dispatcher: undici.Dispatcher,
  address: string,
  runId: string,
): Promise<void> {
  try {
    const response = await undici.request(
      `http://${address}/v1/runs/${encodeURIComponent(runId)}`,
      { method: 'DELETE', dispatcher, signal: AbortSignal.timeout(ORDER_TIMEOUT_MS) },
    );
    await response.body.dump();
  } catch {
    // The run ends on its own.
  }
}
