/** Messages that only concern the quarantine of prompt parts. */
import type * as task from '../kernel/task.js';
import type * as fleetMessages from '../messages/fleet.js';
import * as quarantine from '../quarantine/index.js';
import * as results from '../results/index.js';
import type * as decideTypes from './decide.js';
import * as quarantineSteps from './quarantine-steps.js';
import type * as fleet from './state.js';

type MessageOf<Type extends fleetMessages.FleetMessage['type']> = Extract<
  fleetMessages.FleetMessage,
  { type: Type }
>;
export type Message = MessageOf<
  | 'fleet.attempt-begun'
  | 'fleet.quarantine-update'
  | 'fleet.verdicts-read'
  | 'fleet.verdict-stored'
  | 'fleet.crashes-read'
  | 'fleet.crashes-stored'
>;

export function decide(
  state: fleet.State,
  message: Message,
  now: task.Instant,
): readonly decideTypes.Command[] {
  switch (message.type) {
    case 'fleet.attempt-begun':
      return onBegun(state, message, now);
    case 'fleet.quarantine-update':
      return onUpdate(state, message, now);
    case 'fleet.verdicts-read':
      return onVerdictsRead(state, message, now);
    case 'fleet.verdict-stored':
      onVerdictStored(state, message);
      return [];
    case 'fleet.crashes-read':
      return onCrashesRead(state, message, now);
    case 'fleet.crashes-stored':
      onCrashesStored(state, message, now);
      return [];
    default:
      return results.assertNever(message);
  }
}

function onBegun(
  state: fleet.State,
  { requestId, upstream, survived }: MessageOf<'fleet.attempt-begun'>,
  now: task.Instant,
): readonly decideTypes.Command[] {
  const ledger = state.quarantine;
  const attempt = ledger.attempts.get(requestId);
  if (!attempt || attempt.upstream !== upstream || attempt.hasBegun) return [];
  ledger.attempts.set(requestId, { ...attempt, hasBegun: true });
  const { model } = attempt;
  const parts = soundParts(attempt, survived);
  return quarantineSteps.toCommands(
    state,
    quarantine.evidence.addSuccess(ledger, model, parts, now),
    now,
  );
}

function soundParts(
  { parts }: quarantine.ledger.Attempt,
  survived: quarantine.Survived,
): readonly string[] {
  switch (survived) {
    case 'prompt-and-request':
      return parts;
    case 'request':
      return parts.filter(quarantine.isOfRequest);
    default:
      return results.assertNever(survived);
  }
}

function onUpdate(
  state: fleet.State,
  { update }: MessageOf<'fleet.quarantine-update'>,
  now: task.Instant,
): readonly decideTypes.Command[] {
  return quarantineSteps.toCommands(
    state,
    quarantine.evidence.receive(state.quarantine, update, now),
    now,
  );
}

function onVerdictsRead(
  state: fleet.State,
  { verdicts, removed, isSnapshot }: MessageOf<'fleet.verdicts-read'>,
  now: task.Instant,
): readonly decideTypes.Command[] {
  const read = quarantine.evidence.readStore(state.quarantine, verdicts, removed, isSnapshot, now);
  return quarantineSteps.toCommands(state, read, now);
}

function onVerdictStored(
  { quarantine: ledger }: fleet.State,
  { name, version, isTrial }: MessageOf<'fleet.verdict-stored'>,
): void {
  if (isTrial) quarantine.trials.onClaimAnswered(ledger, name, version);
  quarantine.storing.onWritten(ledger, name, version, isTrial);
}

function onCrashesRead(
  state: fleet.State,
  { records }: MessageOf<'fleet.crashes-read'>,
  now: task.Instant,
): readonly decideTypes.Command[] {
  const ledger = state.quarantine;
  const restored = quarantine.recording.restore(ledger, records, now);
  const crashes = records.reduce((sum, each) => sum + each.crashes.length, 0);
  if (crashes === 0) return [];
  const countedParts = ledger.tallies.size;
  return quarantineSteps.toCommands(
    state,
    [{ kind: 'record-crashes-restored', crashes, countedParts }, ...restored],
    now,
  );
}

function onCrashesStored(
  { quarantine: ledger }: fleet.State,
  { outcome }: MessageOf<'fleet.crashes-stored'>,
  now: task.Instant,
): void {
  quarantine.recording.onWritten(ledger, outcome, now);
}
