/** Carries out the fleet task's commands about quarantined parts of prompts. */
import * as core from '@medlarweir/core';

type Context = core.kernel.TaskContext<
  core.messages.FleetMessage,
  core.settings.gateway.GatewaySettings
>;
export type Command = Extract<core.fleet.Command, { kind: QuarantineKind }>;
type QuarantineKind = Exclude<core.quarantine.Command['kind'], 'withdraw' | 'probe-liveness'>;

export type Label = 'condemned' | 'lifted' | 'refused' | 'trial';

export function count({ send }: Context, label: Label): void {
  send('metrics', { type: 'metrics.count', name: 'gateway.quarantine', by: 1, label });
}

export function perform(context: Context, command: Command): void {
  const { send, record } = context;
  switch (command.kind) {
    case 'send-quarantine-update': {
      const { update, audience } = command;
      send('peerNotes', { type: 'peer-updates.publish-quarantine', update, audience });
      return;
    }
    case 'store-verdict': {
      const { verdict, expectedVersion, isTrial } = command;
      send('sources', { type: 'sources.store-verdict', verdict, expectedVersion, isTrial });
      return;
    }
    case 'store-crashes': {
      const { crashes, expectedVersion } = command;
      send('sources', { type: 'sources.store-crashes', crashes, expectedVersion });
      return;
    }
    case 'record-crashes-restored': {
      const { crashes, countedParts } = command;
      record({ name: 'crashesRestored', details: { crashes, countedParts } });
      return;
    }
    case 'record-crash-suspects':
      command.suspects.forEach(({ upstream, requestId, model, parts }) =>
        record({ name: 'crashSuspected', requestId, details: { upstream, model, parts } }),
      );
      return;
    case 'record-verdict':
      recordVerdict(context, command);
      return;
    case 'record-verdict-lifted': {
      const { model, part, reason } = command;
      record({ name: 'verdictLifted', details: { model, part, reason } });
      count(context, 'lifted');
      setGauge(context, command.quarantinedParts);
      return;
    }
    case 'record-trial': {
      const { requestId, model, parts } = command;
      record({ name: 'trialStarted', requestId, details: { model, parts } });
      count(context, 'trial');
      return;
    }
    default:
      core.results.assertNever(command);
  }
}

function recordVerdict(
  context: Context,
  { verdict, quarantinedParts }: Extract<Command, { kind: 'record-verdict' }>,
): void {
  const { model, part, clientAccounts, crashes } = verdict;
  const upstreams = crashes.map(({ upstream }) => upstream);
  const requests = crashes.map(({ requestId }) => requestId);
  const details = { model, part, clientAccounts, upstreams, requests };
  context.record({ name: 'partCondemned', details });
  count(context, 'condemned');
  setGauge(context, quarantinedParts);
}

function setGauge({ send }: Context, value: number): void {
  send('metrics', { type: 'metrics.gauge', name: 'gateway.quarantined_parts', value });
}
