/** Decisions of the fleet task. State is updated in place, since no other task sees it. */
import type * as canary from '../canary/types.js';
import * as routes from '../gateway/routes.js';
import type * as task from '../kernel/task.js';
import type * as fleetMessages from '../messages/fleet.js';
import type * as gatewayMessages from '../messages/gateway.js';
import * as promptMix from '../prompt-mix/index.js';
import * as quarantine from '../quarantine/index.js';
import * as results from '../results/index.js';
import type * as inputs from '../rollouts/inputs.js';
import * as sharedContext from '../shared-context/index.js';
import * as silence from '../silence/index.js';
import type * as assigned from '../returns/assigned.js';
import type * as shares from '../shares/types.js';
import * as accountUsage from './account-usage.js';
import * as speed from '../speed/index.js';
import * as upstreamHealth from './upstream-health.js';
import * as canarySteps from './canary-steps.js';
import * as connectionLimits from './connection-limits.js';
import * as discovery from './discovery.js';
import * as eligibility from './eligibility.js';
import type * as peerWork from './peer-work.js';
import type * as placement from './placement.js';
import type * as fleet from './state.js';
import * as liveness from './liveness.js';
import * as peerUpdates from './peer-updates.js';
import * as publishing from './publishing.js';
import * as quarantineMessages from './quarantine-messages.js';
import * as quarantineSteps from './quarantine-steps.js';
import * as reach from './reach.js';
import * as reports from './reports.js';
import * as responses from './responses.js';
import * as senders from './senders.js';
import * as silenceSteps from './silence-steps.js';
import * as sourceChanges from './source-changes.js';
import * as usageUpdates from './usage-updates.js';
import type * as waitRefusals from './wait-refusals.js';
import * as waitingRequests from './waiting-requests.js';

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
  | { kind: 'send-silence-update'; update: silence.types.Update }
  | { kind: 'send-speed-update'; update: speed.sharing.Update }
  | { kind: 'send-usage-update'; update: shares.Update }
  | { kind: 'schedule-waiting'; delayMs: number }
  | { kind: 'record-load-refusal'; refusal: waitRefusals.LoadRefusal }
  | {
      kind: 'record-wait';
      placementRequest: placement.Request;
      waitedMs: number;
      /** How its caller kept to the time that this instance assigned, if it did. */
      returned: assigned.Return | undefined;
    }
  | { kind: 'record-overuse'; accounts: readonly accountUsage.Overuse[] }
  | { kind: 'record-placement'; placementRequest: placement.Request; decision: placement.Decision }
  | { kind: 'record-upstream-change'; id: string; text: string; ageMs: number }
  | {
      kind: 'record-target-versions';
      versions: Readonly<Record<string, number>>;
      /** Time since the last answer of the platform without them; infinite if there was none. */
      unseenMs: number;
    }
  | {
      kind: 'record-reach';
      reach: reach.Reach;
      silentForMs: number;
      failed: number;
      listed: number;
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
  return waitingRequests.afterMessage(decideMessage(state, message, now), message, now);
}

function decideMessage(
  state: fleet.State,
  message: fleetMessages.FleetMessage,
  now: task.Instant,
): Step {
  switch (message.type) {
    case 'fleet.place':
      return {
        state,
        commands: [...reach.check(state, now), ...waitingRequests.onPlace(state, message, now)],
      };
    case 'fleet.withdraw':
      return { state, commands: waitingRequests.withdraw(state, message.requestId, now) };
    case 'fleet.waiting-due':
      return { state, commands: [] };
    case 'fleet.attempt-ended':
      return onOutcome(state, message, now);
    case 'fleet.upstream-responded':
      return { state, commands: responses.record(state, message, now) };
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
      return sourceChanges.onEvacuationsChanged(state, message, now);
    case 'fleet.target-versions-changed':
      return sourceChanges.onTargetVersionsChanged(state, message, now);
    case 'fleet.store-changed':
      sharedContext.inventory.applyUpdate(state.inventory, message.store, message.update, now);
      return { state, commands: [] };
    case 'fleet.silence-update':
      return { state, commands: silenceSteps.onUpdate(state, message.update, now) };
    case 'fleet.sharing-changed':
      silence.sharing.withSharing(state, message.sharing);
      return { state: peerUpdates.withSharing(state, message.sharing), commands: [] };
    case 'fleet.peer-update':
      return { state: peerUpdates.receive(state, message.update, now), commands: [] };
    case 'fleet.speed-update':
      speed.sharing.receive(state, message.update, now);
      return { state, commands: [] };
    case 'fleet.usage-update':
      usageUpdates.receive(state, message.update, now);
      return { state, commands: [] };
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
  const reached = message.outcome === 'answered' ? reach.onByte(state, now) : [];
  const suspicions = [...reached, ...quarantineSteps.onAttemptEnded(state, message, now)];
  const { requestId, upstream: id, outcome } = message;
  const upstream = state.registry.upstreams.get(id);
  if (!upstream) return { state, commands: suspicions };
  const before = upstream.reachability;
  accountUsage.recordEnded(state, upstream, requestId, outcome, now);
  const work = upstream.inFlight.get(requestId);
  if (work && outcome === 'answered') {
    speed.recordEnd(state, upstream, work, now);
    promptMix.learning.recordEnd(state, upstream, work, now);
  }
  const counted = reach.outcomeOf(state, outcome);
  upstreamHealth.recordOutcome(upstream, requestId, counted, now);
  const scheduled = [
    ...publishing.schedule(state, { upstream: id, context: undefined }),
    ...suspicions,
  ];
  if (before.kind === upstream.reachability.kind) return { state, commands: scheduled };
  const text = `does not answer: ${outcome}`;
  const ageMs = now.monotonicMs - upstream.lastByteAtMs;
  const change: Command = { kind: 'record-upstream-change', id, text, ageMs };
  const checked = reach.onFailure(state, upstream, before, now);
  return { state, commands: [...scheduled, change, ...checked, ...silenceSteps.publish(state)] };
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
    ranks: routes.ranksInUse(table),
  });
}

/** Probes silent upstreams, since no request is sent to them that would show their recovery. */
function onTick(given: fleet.State, now: task.Instant): Step {
  const state = senders.expire(
    peerUpdates.expirePeers(reports.withOldestInUse(given, now), now),
    now,
  );
  const expired = discovery.expire(state.registry, now);
  promptMix.learning.recordLevels(state, now);
  const all = [...state.registry.upstreams.values()];
  all.forEach((upstream) => upstreamHealth.trimHistory(upstream, now.monotonicMs));
  const checked = reach.onTick(state, now);
  const probes = all.flatMap((upstream) => reports.probeFor(state, upstream, now));
  return {
    state,
    commands: [
      { kind: 'schedule-tick' },
      ...publishing.snapshots(state, now),
      ...silenceSteps.onTick(state, now),
      ...publishing.speeds(state, now),
      ...usageUpdates.onTick(state, now),
      ...reports.recordChanges(state, expired),
      ...quarantineSteps.onTick(state, now),
      ...checked,
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
