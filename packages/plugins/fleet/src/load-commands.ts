/** Carries out the fleet task's commands that record waits and refusals under predictive load control. */
import * as core from '@medlarweir/core';

type Context = core.kernel.TaskContext<
  core.messages.FleetMessage,
  core.settings.gateway.GatewaySettings
>;
type Command = Extract<
  core.fleet.Command,
  { kind: 'record-load-refusal' | 'record-wait' | 'record-overuse' }
>;

/** Journal value of an amount that is not known. */
const UNKNOWN = -1;
const PERCENT = 100;

export function perform(context: Context, command: Command): void {
  switch (command.kind) {
    case 'record-load-refusal':
      recordRefusal(context, command.refusal);
      return;
    case 'record-wait':
      recordWait(context, command);
      return;
    case 'record-overuse':
      recordOveruse(context, command);
      return;
    default:
      core.results.assertNever(command);
  }
}

function recordRefusal(
  { send, record }: Context,
  {
    reason,
    placementRequest,
    load,
    overuse,
    waitedMs,
    retryTime,
  }: core.fleet.waitRefusals.LoadRefusal,
): void {
  const { requestId, service, clientAccount, waiting } = placementRequest;
  record({
    name: 'loadRefused',
    requestId,
    details: {
      service,
      clientAccount,
      reason,
      rank: waiting?.rank ?? UNKNOWN,
      overusePercent: Math.round(overuse * PERCENT),
      predictedWaitMs: Math.round(load?.waitMs ?? UNKNOWN),
      maxWaitMs: Math.round(load?.maxWaitMs ?? UNKNOWN),
      readMs: Math.round(load?.readMs ?? UNKNOWN),
      waitedMs: Math.round(waitedMs),
      retryAfterMs: retryTime.retryAfterMs,
      hasPrecedence: retryTime.hasPrecedence,
    },
  });
  send('metrics', {
    type: 'metrics.count',
    name: 'gateway.load_refusals',
    by: 1,
    label: reason,
  });
}

function recordWait(
  { send, record }: Context,
  { placementRequest, waitedMs, returned }: Extract<Command, { kind: 'record-wait' }>,
): void {
  if (returned) {
    send('metrics', { type: 'metrics.count', name: 'gateway.returns', by: 1, label: returned });
  }
  if (waitedMs <= 0) return;
  const { requestId, service } = placementRequest;
  const details = { service, waitedMs: Math.round(waitedMs), returned: returned ?? '' };
  record({ name: 'requestWaited', requestId, details });
  send('metrics', { type: 'metrics.timing', name: 'gateway.waits', ms: waitedMs });
}

function recordOveruse(
  { send, record }: Context,
  { accounts }: Extract<Command, { kind: 'record-overuse' }>,
): void {
  const described = accounts.map(
    ({ service, account, overuse }) => `${service} ${account} ${Math.round(overuse * PERCENT)}%`,
  );
  record({ name: 'accountsAboveShare', details: { accounts: described } });
  const [first] = accounts;
  send('metrics', { type: 'metrics.gauge', name: 'gateway.overuse', value: first?.overuse ?? 0 });
}
