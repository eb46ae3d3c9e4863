/** What became of a request's attempts, for the journal and the metrics. */
import * as core from '@medlarweir/core';

type Command = core.gateway.lifecycleState.Command;
type Settings = core.settings.gateway.GatewaySettings;

export type RequestContext = {
  routed: core.gateway.lifecycleState.RoutedRequest;
  content: string;
  caller: core.messages.ReplyAddress;
  /** Under which the request goes through another instance, if it does. */
  relay: string;
  context: core.kernel.TaskContext<core.messages.RequestMessage, Settings>;
  history: AttemptHistory;
};

/** Attempt data for the journal entry at the end of the request. Only the commands' performance writes it. */
export type AttemptHistory = {
  upstreams: string[];
  /** Instances through which the request was sent. */
  relayedTo: string[];
  softwareVersions: string[];
  expectedWork: core.messages.ExpectedWork[];
  outcomes: string[];
  firstEventMs: number | undefined;
  /** When the newest attempt was sent. */
  sentAtMs: number | undefined;
  /** Time from that until its first event, or until the answer of a plain request. */
  firstEventAfterSendMs: number | undefined;
};

/** Value in the journal when no event of the response stream arrived. */
const NO_FIRST_EVENT_MS = -1;

export function empty(): AttemptHistory {
  return {
    upstreams: [],
    relayedTo: [],
    softwareVersions: [],
    expectedWork: [],
    outcomes: [],
    firstEventMs: undefined,
    sentAtMs: undefined,
    firstEventAfterSendMs: undefined,
  };
}

export function recordSend(
  history: AttemptHistory,
  { upstream, softwareVersion, expected }: core.messages.Destination,
): void {
  history.upstreams.push(upstream);
  history.softwareVersions.push(softwareVersion);
  history.expectedWork.push(expected);
  Object.assign(history, { sentAtMs: core.kernel.readClock().monotonicMs });
}

/** Records the times of the first part of an upstream's answer that is passed on. */
export function recordReply(
  scope: RequestContext,
  { type }: Extract<Command, { kind: 'reply' }>['reply'],
): void {
  if (type === 'reply.head') recordFirstEvent(scope);
  if (type === 'reply.head' || type === 'reply.complete') recordPrediction(scope);
}

function recordFirstEvent({ routed, context, history }: RequestContext): void {
  const ms = core.kernel.readClock().monotonicMs - routed.request.receivedAt.monotonicMs;
  Object.assign(history, { firstEventMs: Math.round(ms) });
  context.send('metrics', { type: 'metrics.timing', name: 'gateway.first_event', ms });
}

/** Compares the first event, or the whole answer, with what was predicted as its attempt was placed. */
function recordPrediction({ routed, context, history }: RequestContext): void {
  const { sentAtMs, expectedWork, firstEventAfterSendMs } = history;
  if (sentAtMs === undefined || firstEventAfterSendMs !== undefined) return;
  const tookMs = core.kernel.readClock().monotonicMs - sentAtMs;
  Object.assign(history, { firstEventAfterSendMs: Math.round(tookMs) });
  const predictedMs = expectedWork.at(-1)?.firstEventMs;
  if (predictedMs === undefined) return;
  context.send('metrics', {
    type: 'metrics.timing',
    name: 'gateway.prediction_error',
    ms: Math.abs(tookMs - predictedMs),
    label: routed.service,
  });
}

/** Time for which an attempt's weights had been replaced when it was placed; `-` for the newest. */
function replacedForText({ replacedForMs }: core.messages.ExpectedWork): string {
  return replacedForMs === undefined ? '-' : String(Math.round(replacedForMs));
}

/** `-` where nothing was predicted. */
function predictedText({ firstEventMs }: core.messages.ExpectedWork): string {
  return firstEventMs === undefined ? '-' : String(firstEventMs);
}

export function recordRequestEnd(
  { routed, context, history }: RequestContext,
  { result, status, reason }: core.gateway.lifecycleState.RequestOutcome,
): void {
  const { request, route, service, clientAccount, tableVersion, tableAgeMs } = routed;
  const now = core.kernel.readClock();
  const tookMs = Math.round(now.monotonicMs - request.receivedAt.monotonicMs);
  context.record({
    name: 'requestFinished',
    requestId: request.requestId,
    details: {
      result,
      status,
      reason,
      tookMs,
      firstEventMs: history.firstEventMs ?? NO_FIRST_EVENT_MS,
      route: route.name,
      service,
      clientAccount: clientAccount?.name ?? '',
      upstreams: history.upstreams,
      relayedTo: history.relayedTo,
      softwareVersions: history.softwareVersions,
      streamBegunBy: request.streamBegunBy ?? '',
      expectedWaitMs: history.expectedWork.map(({ waitMs }) => String(waitMs)),
      tokensToRead: history.expectedWork.map(({ tokensToRead }) => String(tokensToRead)),
      weightVersions: history.expectedWork.map(({ weightVersion }) => String(weightVersion)),
      replacedForMs: history.expectedWork.map(replacedForText),
      predictedFirstEventMs: history.expectedWork.map(predictedText),
      firstEventAfterSendMs: history.firstEventAfterSendMs ?? NO_FIRST_EVENT_MS,
      outcomes: history.outcomes,
      tableVersion,
      tableAgeMs,
    },
  });
  const { send } = context;
  send('metrics', { type: 'metrics.count', name: 'gateway.requests', by: 1, label: result });
  send('metrics', { type: 'metrics.timing', name: 'gateway.whole', ms: tookMs });
}
