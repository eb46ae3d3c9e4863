/** Decisions of the fleet task. State is updated in place, since no other task sees it. */
import type * as canary from '../canary/types.js';
import type * as routes from '../gateway/routes.js';
import type * as task from '../kernel/task.js';
import type * as fleetMessages from '../messages/fleet.js';
import type * as gatewayMessages from '../messages/gateway.js';
import * as quarantine from '../quarantine/index.js';
import * as results from '../results/index.js';
import type * as inputs from '../rollouts/inputs.js';
import * as sharedContext from '../shared-context/index.js';
import * as upstreamHealth from './upstream-health.js';
import * as canarySteps from './canary-steps.js';
import * as connectionLimits from './connection-limits.js';
import * as discovery from './discovery.js';
import * as eligibility from './eligibility.js';
import type * as peerWork from './peer-work.js';
import * as placement from './placement.js';
import * as prefillRate from './prefill-rate.js';
import type * as fleet from './state.js';
import * as liveness from './liveness.js';
import * as namedChanges from './named-changes.js';
import * as peerUpdates from './peer-updates.js';
import * as publishing from './publishing.js';
import * as quarantineMessages from './quarantine-messages.js';
import * as quarantineSteps from './quarantine-steps.js';
import * as reports from './reports.js';
import * as senders from './senders.js';

export type Command =
  | {
      kind: 'reply';
      replyTo: gatewayMessages.RequestAddress;
      message: gatewayMessages.RequestMessage;
    }
  | { kind: 'probe'; probe: gatewayMessages.Probe }
  | { kind: 'report-to-rollouts'; upstreams: readonly inputs.Upstream[] }
  | {
      kind: 'report-obsolete-parts';
      stores: readonly routes.ContextStore[];
      obsoleteParts: readonly inputs.ObsoleteParts[];
    }
  | { kind: 'limit-connections'; connectionsPerUpstream: Readonly<Record<string, number>> }
  | { kind: 'report-versions'; services: readonly canary.ServiceVersions[] }
  | { kind: 'schedule-tick' }
  | { kind: 'schedule-peer-update'; delayMs: number }
  | { kind: 'send-peer-update'; update: peerWork.Update }
  | { kind: 'record-placement'; placementRequest: placement.Request; decision: placement.Decision }
  | { kind: 'record-upstream-change'; id: string; text: string; ageMs: number }
  | {
      kind: 'record-target-versions';
      versions: Readonly<Record<string, number>>;
      /** Time since the last answer of the platform without them; infinite if there was none. */
      unseenMs: number;
    }
  | { kind: 'record-evacuation'; dataCentres: readonly string[]; unseenMs: number }
  | Exclude<quarantine.Command, { kind: 'withdraw' | 'probe-liveness' }>;

export type Step = task.Step<fleet.State, Command>;

/** Interval of probes of silent upstreams, expiry of registrations and reports to the rollouts task. */
export const TICK_INTERVAL_MS = 500;

export function decide(
  state: fleet.State,
  message: fleetMessages.FleetMessage,
  now: task.Instant,
): Step {
  switch (message.type) {
    case 'fleet.place':
      return onPlace(state, message, now);
    case 'fleet.attempt-ended':
      return onOutcome(state, message, now);
    case 'fleet.upstream-responded':
      return onResponse(state, message, now);
    case 'fleet.check-liveness':
      return liveness.check(state, message, now);
    case 'fleet.check-begin':
      return onCheckBegin(state, message, now);
    case 'fleet.probe-finished':
      return liveness.onProbeFinished(state, message, now);
    case 'fleet.upstream-list-read':
      return onListRead(state, message.update, now);
    case 'fleet.upstream-list-unavailable':
      discovery.recordOutage(state.registry, now);
      return { state, commands: [] };
    case 'fleet.table-adopted':
      return onTableAdopted(state, message.table);
    case 'fleet.members-changed':
      quarantine.publishing.renewVerdicts(state.quarantine, now);
      return connectionLimits.withConnectionLimits(senders.withMembers(state, message.names, now));
    case 'fleet.evacuations-changed':
      return namedChanges.onEvacuationsChanged(state, message, now);
    case 'fleet.target-versions-changed':
      return namedChanges.onTargetVersionsChanged(state, message, now);
    case 'fleet.store-changed':
      sharedContext.inventory.applyUpdate(state.inventory, message.store, message.update, now);
      return { state, commands: [] };
    case 'fleet.sharing-changed':
      return { state: peerUpdates.withSharing(state, message.sharing), commands: [] };
    case 'fleet.peer-update':
      return { state: peerUpdates.receive(state, message.update, now), commands: [] };
    case 'fleet.releases-changed':
      return { state, commands: canarySteps.setReleases(state, message.releases) };
    case 'fleet.publish-work':
      return { state, commands: publishing.changes(state, now) };
    case 'fleet.attempt-begun':
    case 'fleet.quarantine-update':
    case 'fleet.verdicts-read':
    case 'fleet.verdict-stored':
    case 'fleet.crashes-read':
    case 'fleet.crashes-stored':
      return { state, commands: quarantineMessages.decide(state, message, now) };
    case 'fleet.tick':
      return onTick(state, now);
    case 'task.start':
      return { state, commands: [{ kind: 'schedule-tick' }] };
    case 'task.drain':
    case 'task.stop':
      return { state, commands: [] };
    default:
      return results.assertNever(message);
  }
}

type MessageOf<Type extends fleetMessages.FleetMessage['type']> = Extract<
  fleetMessages.FleetMessage,
  { type: Type }
>;

function onPlace(
  state: fleet.State,
  { placementRequest, replyTo }: MessageOf<'fleet.place'>,
  now: task.Instant,
): Step {
  const checked = quarantineSteps.check(state, placementRequest, now);
  if (checked.kind === 'refused') {
    const commands = quarantineSteps.refuse(state, placementRequest, replyTo, checked, now);
    return { state, commands };
  }
  const placed = placement.place(state, placementRequest, now);
  const message: gatewayMessages.RequestMessage =
    placed.kind === 'placed'
      ? { type: 'fleet.placed', destination: placed.destination }
      : { type: 'fleet.not-placed', reason: placed.reason, freeInMs: placed.freeInMs };
  return {
    state,
    commands: [
      { kind: 'record-placement', placementRequest, decision: placed },
      { kind: 'reply', replyTo, message },
      ...afterPlacement(state, placementRequest, placed, checked.trialOf, replyTo),
    ],
  };
}

function afterPlacement(
  state: fleet.State,
  asked: placement.Request,
  placed: placement.Decision,
  trialOf: readonly string[],
  replyTo: gatewayMessages.RequestAddress,
): readonly Command[] {
  if (placed.kind === 'none') return [];
  const { destination } = placed;
  return [
    ...publishing.schedule(state, destination),
    ...quarantineSteps.onPlaced(state, asked, destination.upstream, trialOf, replyTo),
  ];
}

function onCheckBegin(
  state: fleet.State,
  { attempt, upstream: id, model, replyTo }: MessageOf<'fleet.check-begin'>,
  now: task.Instant,
): Step {
  const upstream = state.registry.upstreams.get(id);
  const beginBy = upstream && eligibility.beginBy(state, upstream, model, now);
  const message = { type: 'fleet.begin-checked' as const, attempt, beginBy };
  return { state, commands: [{ kind: 'reply', replyTo, message }] };
}

function onOutcome(
  state: fleet.State,
  message: MessageOf<'fleet.attempt-ended'>,
  now: task.Instant,
): Step {
  const suspicions = quarantineSteps.onAttemptEnded(state, message, now);
  const { requestId, upstream: id, outcome } = message;
  const upstream = state.registry.upstreams.get(id);
  if (!upstream) return { state, commands: suspicions };
  const before = upstream.reachability.kind;
  upstreamHealth.recordOutcome(upstream, requestId, outcome, now);
  const scheduled = [
    ...publishing.schedule(state, { upstream: id, context: undefined }),
    ...suspicions,
  ];
  if (before === upstream.reachability.kind) return { state, commands: scheduled };
  const text = `does not answer: ${outcome}`;
  const ageMs = now.monotonicMs - upstream.lastByteAtMs;
  return { state, commands: [...scheduled, { kind: 'record-upstream-change', id, text, ageMs }] };
}

function onResponse(
  state: fleet.State,
  message: MessageOf<'fleet.upstream-responded'>,
  now: task.Instant,
): Step {
  quarantineSteps.onResponse(state, message);
  const { upstream: id, requestId, selfReport } = message;
  const upstream = state.registry.upstreams.get(id);
  if (!upstream) return { state, commands: [] };
  const versions = [...upstream.versions.values()].join();
  const before = reports.selfReportOf(upstream);
  const begun = upstreamHealth.recordResponse(upstream, requestId, selfReport, now);
  if (begun) prefillRate.recordSample(state, upstream.registration.service, begun, now);
  const hasChanged = versions !== [...upstream.versions.values()].join();
  return {
    state,
    commands: [
      ...(begun ? publishing.schedule(state, { upstream: id, context: undefined }) : []),
      ...(hasChanged ? [reports.reportToRollouts(state)] : []),
      ...reports.recordSelfReport(upstream, before),
    ],
  };
}

function onListRead(state: fleet.State, update: discovery.Update, now: task.Instant): Step {
  const changed = discovery.applyUpdate(state.registry, update, now);
  canarySteps.recordVersions(state, now);
  return {
    state,
    commands: [
      ...reports.recordChanges(state, changed),
      ...reportIfChanged(state, changed),
      ...quarantineSteps.onListApplied(state, now),
    ],
  };
}

function reportIfChanged(state: fleet.State, changed: readonly string[]): readonly Command[] {
  return changed.length === 0 ? [] : [reports.reportToRollouts(state)];
}

function onTableAdopted(state: fleet.State, table: routes.RoutingTable): Step {
  const services = new Map(table.services.map((service) => [service.name, service]));
  return connectionLimits.withConnectionLimits({
    ...state,
    services,
    contextStores: table.contextStores,
  });
}

/** Probes silent upstreams, since no request is sent to them that would show their recovery. */
function onTick(given: fleet.State, now: task.Instant): Step {
  const state = senders.expire(
    peerUpdates.expirePeers(reports.withOldestInUse(given, now), now),
    now,
  );
  const expired = discovery.expire(state.registry, now);
  const all = [...state.registry.upstreams.values()];
  all.forEach((upstream) => upstreamHealth.trimHistory(upstream, now.monotonicMs));
  const probes = all.flatMap((upstream) => reports.probeFor(state, upstream, now));
  return {
    state,
    commands: [
      { kind: 'schedule-tick' },
      ...publishing.snapshots(state, now),
      ...reports.recordChanges(state, expired),
      ...quarantineSteps.onTick(state, now),
      ...probes.map((probe): Command => ({ kind: 'probe', probe })),
      reports.reportToRollouts(state),
      ...canarySteps.report(state),
      {
        kind: 'report-obsolete-parts',
        stores: state.contextStores,
        obsoleteParts: reports.obsoleteParts(state, now),
      },
    ],
  };
}
