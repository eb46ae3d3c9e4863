/** Records the bytes that upstreams send, and what the heads of their answers say of them. */
import type * as task from '../kernel/task.js';
import type * as fleetMessages from '../messages/fleet.js';
import * as accountUsage from './account-usage.js';
import * as speed from '../speed/index.js';
import type * as decide from './decide.js';
import * as prefillRate from './prefill-rate.js';
import * as publishing from './publishing.js';
import * as quarantineSteps from './quarantine-steps.js';
import * as reach from './reach.js';
import * as reports from './reports.js';
import type * as fleet from './state.js';
import * as upstreamHealth from './upstream-health.js';

type Response = Extract<fleetMessages.FleetMessage, { type: 'fleet.upstream-responded' }>;

export function record(
  state: fleet.State,
  message: Response,
  now: task.Instant,
): readonly decide.Command[] {
  quarantineSteps.onResponse(state, message);
  const { upstream: id, requestId, selfReport } = message;
  const reached = reach.onByte(state, now);
  const upstream = state.registry.upstreams.get(id);
  if (!upstream) return reached;
  const versions = [...upstream.versions.values()].join();
  const before = reports.selfReportOf(upstream);
  accountUsage.recordResponse(state, upstream, requestId, now);
  if (selfReport) speed.recordSignals(state, upstream, selfReport, now);
  const begun = upstreamHealth.recordResponse(upstream, requestId, selfReport, now);
  if (begun) {
    prefillRate.recordSample(state, upstream.registration.service, begun, now);
    speed.recordFirstEvent(state, upstream, begun, now);
  }
  const hasChanged = versions !== [...upstream.versions.values()].join();
  return [
    ...reached,
    ...(begun ? publishing.schedule(state, { upstream: id, context: undefined }) : []),
    ...(hasChanged ? [reports.reportToRollouts(state)] : []),
    ...reports.recordSelfReport(upstream, before),
  ];
}
