/** Tells the canary task of an attempt that is evidence about a version of the upstreams' software. */
import * as core from '@medlarweir/core';

type Settings = core.settings.gateway.GatewaySettings;
type Context = Pick<
  core.kernel.TaskContext<core.messages.RequestMessage, Settings>,
  'send' | 'settings'
>;

export function send(
  context: Context,
  { request, route, service }: core.gateway.lifecycleState.RoutedRequest,
  { destination, startedAtMs }: core.gateway.lifecycleState.Attempt,
  outcome: core.gateway.lifecycleState.AttemptOutcome,
): void {
  if (context.settings.exposureShare === undefined) return;
  const tokens = request.prompt?.parts.map((part) => part.tokens) ?? [];
  const sample = core.canary.sample.of({
    service,
    softwareVersion: destination.softwareVersion,
    route: route.name,
    promptTokens: tokens.reduce((sum, each) => sum + each, 0),
    outcome,
    elapsedMs: core.kernel.readClock().monotonicMs - startedAtMs,
    latencyTargetMs: route.latencyTargetMs,
  });
  if (sample) context.send('canary', { type: 'canary.attempt-ended', sample });
}
