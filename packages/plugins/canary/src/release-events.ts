/** Journal events and metrics of a release: each step with its evidence and the order's age. */
import * as core from '@medlarweir/core';

type Settings = core.settings.gateway.GatewaySettings;
type Context = Pick<
  core.kernel.TaskContext<core.messages.CanaryMessage, Settings>,
  'record' | 'send'
>;
type RecordCommand = Extract<core.canary.Command, { kind: 'record' }>;

export function record(context: Context, { event, running, detail, ageMs }: RecordCommand): void {
  const { order, step, tests } = running;
  const { responses, failures, slow } = core.canary.sequential.summary(tests);
  context.record({
    name: event,
    details: {
      service: order.service,
      to: order.to,
      step,
      detail,
      orderAgeMs: Math.round(ageMs),
      responses: Math.round(responses),
      // Logarithms of likelihood ratios: above the bound of the test, the version is bad.
      failureEvidence: Number(failures.toFixed(2)),
      latencyEvidence: Number(slow.toFixed(2)),
    },
  });
  context.send('metrics', { type: 'metrics.gauge', name: 'canary.step', value: step });
  context.send('metrics', {
    type: 'metrics.gauge',
    name: 'canary.responses',
    value: Math.round(responses),
  });
}

export function countWrite({ send }: Context, label: string): void {
  send('metrics', { type: 'metrics.count', name: 'canary.writes', by: 1, label });
}
