/** Starts runs at model engines and goes on with them, with one streaming connection per run. */
import * as core from '@medlarweir/core';
import * as lineFeed from '@medlarweir/line-feed';

import * as wire from './wire.js';

/** A line holds a token, or the names of the pieces that a run has read. */
const MAX_LINE_CHARACTERS = 1_000_000;

type ReportAddress = core.kernel.Address<core.messages.RunReport>;

/** Sends a prompt to an engine and reports each line of the response stream. */
export function start(
  address: string,
  order: core.messages.RunOrder,
  replyTo: ReportAddress,
): lineFeed.Stream {
  const { upstream, sendBeforeMs, ...body } = order;
  void sendBeforeMs;
  return streamRun(order.runId, replyTo, {
    url: `http://${address}/v1/runs`,
    method: 'POST',
    body: JSON.stringify(body),
  });
}

/** Goes on with a run that the engine still holds, from a token offset. */
export function resume(
  address: string,
  runId: string,
  offset: number,
  replyTo: ReportAddress,
): lineFeed.Stream {
  return streamRun(runId, replyTo, {
    url: `http://${address}/v1/runs/${encodeURIComponent(runId)}?offset=${offset}`,
  });
}

function streamRun(
  runId: string,
  replyTo: ReportAddress,
  request: Pick<lineFeed.RequestOptions, 'url' | 'method' | 'body'>,
): lineFeed.Stream {
  let hasEnded = false;
  let status = 0;
  const endWith = (report: core.messages.RunReport) => {
    if (hasEnded) return;
    hasEnded = true;
    replyTo.send(report);
  };
  const fail = (sendProgress: core.messages.SendProgress, failure: core.results.Failure) =>
    endWith({ type: 'run.failed', runId, progress: sendProgress, failure });
  const onLine = (line: string) => {
    if (hasEnded) return;
    const decoded = wire.decodeRunLine(line);
    if (!decoded) {
      fail({ kind: 'responding' }, core.results.failure('upstreamMalformed', 'unreadable line'));
    } else if (decoded.kind === 'ended') endWith(toReport(decoded));
    else replyTo.send(toReport(decoded));
    // What follows is of no use, and may not end.
    if (hasEnded) stream.close();
  };
  const stream = lineFeed.open({
    ...request,
    maxLineCharacters: MAX_LINE_CHARACTERS,
    onStatus: (found) => {
      status = found;
      if (status === 200) return;
      const end: lineFeed.End = { kind: 'finished' };
      fail(sendProgressOf(end, status), failureOf(end, status));
      stream.close();
    },
    onLine,
    onEnd: (end) => fail(sendProgressOf(end, status), failureOf(end, status)),
  });
  return stream;
}

function toReport(line: wire.RunLine): core.messages.RunReport {
  switch (line.kind) {
    case 'started':
      return { ...line, type: 'run.started' };
    case 'token':
      return { ...line, type: 'run.token' };
    case 'ended':
      return { ...line, type: 'run.ended' };
    default:
      return core.results.assertNever(line);
  }
}

/** Engines respond with 409, 429 or 503 only before they run anything. */
const NOT_RUN_STATUSES = [409, 429, 503];

function sendProgressOf(end: lineFeed.End, status: number): core.messages.SendProgress {
  if (NOT_RUN_STATUSES.includes(status)) return { kind: 'vouched-not-run' };
  switch (end.kind) {
    case 'not-connected':
      return { kind: 'not-connected' };
    case 'broken':
      return end.hasStatus ? { kind: 'responding' } : { kind: 'sending' };
    case 'finished':
      return { kind: 'responding' };
    default:
      return core.results.assertNever(end);
  }
}

function failureOf(end: lineFeed.End, status: number): core.results.Failure {
  if (status !== 0 && status !== 200) {
    return core.results.failure('upstreamRefused', `status ${status}`);
  }
  switch (end.kind) {
    case 'not-connected':
      return core.results.failure('upstreamUnreachable', end.detail);
    case 'broken':
      return core.results.failure('runLost', end.detail);
    case 'finished':
      return core.results.failure('runLost', 'the stream ended before the run');
    default:
      return core.results.assertNever(end);
  }
}
