/** Connects the quarantine of requests and prompt parts with attempts, probes and the list of upstreams. */
import type * as task from '../kernel/task.js';
import type * as fleetMessages from '../messages/fleet.js';
import type * as gatewayMessages from '../messages/gateway.js';
import * as quarantine from '../quarantine/index.js';
import * as results from '../results/index.js';
import type * as decide from './decide.js';
import type * as placement from './placement.js';
import * as reports from './reports.js';
import type * as fleet from './state.js';
import type * as upstreams from './upstream.js';

type MessageOf<Type extends fleetMessages.FleetMessage['type']> = Extract<
  fleetMessages.FleetMessage,
  { type: Type }
>;

/** More attempts are never in flight at one instance. */
const MAX_ATTEMPTS = 16_384;

/** An upstream that goes down and returns has another incarnation. */
export function crashOf({ registration }: upstreams.Upstream): string {
  const { id, address, incarnationStartedAtMs } = registration;
  return `${id}@${incarnationStartedAtMs ?? address}`;
}

export function check(
  state: fleet.State,
  asked: placement.Request,
  now: task.Instant,
): quarantine.Decision {
  const { requestId, clientAccount, isRepeat } = asked;
  const request = { requestId, clientAccount, isRepeat, ...namesOf(asked) };
  return quarantine.check(state.quarantine, request, now);
}

function namesOf({ prompt, content }: placement.Request) {
  const ids = prompt?.parts.map(({ id }) => id) ?? [];
  return {
    model: prompt?.model ?? quarantine.NO_MODEL,
    parts: [...new Set(ids), quarantine.ofRequest(content)],
    lastPart: ids.at(-1),
  };
}

/** Records the attempt, which spends the trial that let it through. */
export function onPlaced(
  state: fleet.State,
  asked: placement.Request,
  id: string,
  trialOf: readonly string[],
  replyTo: gatewayMessages.RequestAddress,
): readonly decide.Command[] {
  const upstream = state.registry.upstreams.get(id);
  if (!upstream) return [];
  const { requestId, clientAccount } = asked;
  const { model, parts, lastPart } = namesOf(asked);
  const isTrial = trialOf.length > 0;
  const attempt: quarantine.ledger.Attempt = {
    requestId,
    upstream: id,
    crash: crashOf(upstream),
    clientAccount,
    model,
    parts,
    lastPart,
    hasHead: false,
    hasBegun: false,
    isTrial,
    replyTo,
  };
  const { attempts } = state.quarantine;
  quarantine.ledger.setBounded(attempts, requestId, attempt, MAX_ATTEMPTS);
  if (!isTrial) return [];
  quarantine.trials.spend(state.quarantine, model, trialOf);
  return [{ kind: 'record-trial', requestId, model, parts: trialOf }];
}

/** The upstream has begun to answer, though no event is complete yet. */
export function onResponse(
  { quarantine: { attempts } }: fleet.State,
  { requestId, upstream }: MessageOf<'fleet.upstream-responded'>,
): void {
  const attempt = requestId === undefined ? undefined : attempts.get(requestId);
  if (attempt?.upstream === upstream) Object.assign(attempt, { hasHead: true });
}

export function onAttemptEnded(
  state: fleet.State,
  { requestId, upstream: id, outcome }: MessageOf<'fleet.attempt-ended'>,
  now: task.Instant,
): readonly decide.Command[] {
  const ledger = state.quarantine;
  const attempt = ledger.attempts.get(requestId);
  if (attempt?.upstream === id) ledger.attempts.delete(requestId);
  const upstream = state.registry.upstreams.get(id);
  if (!upstream) return [];
  switch (outcome) {
    case 'broken':
      return attempt?.upstream === id ? onBroken(state, attempt, upstream, now) : [];
    case 'unreachable':
      restoreTrial(state, attempt);
      return onDown(state, upstream, now);
    case 'rejected':
    case 'no-connection':
      restoreTrial(state, attempt);
      return [];
    case 'answered':
    case 'failed':
    case 'silent':
    case 'cancelled':
      return [];
    default:
      return results.assertNever(outcome);
  }
}

/** A trial whose request did not run is not spent. */
function restoreTrial(
  { quarantine: ledger }: fleet.State,
  attempt: quarantine.ledger.Attempt | undefined,
): void {
  if (attempt?.isTrial) quarantine.trials.restore(ledger, attempt.model, attempt.parts);
}

/** An upstream that announced its end closes its connections without a crash. */
function onBroken(
  state: fleet.State,
  attempt: quarantine.ledger.Attempt,
  upstream: upstreams.Upstream,
  now: task.Instant,
): readonly decide.Command[] {
  const { kind } = upstream.registrationState;
  if (upstream.isLeaving || kind === 'draining' || kind === 'gone') return [];
  const { suspicion } = quarantine;
  const hasReturned = crashOf(upstream) !== attempt.crash;
  const confirmed = hasReturned ? suspicion.onDown(state.quarantine, attempt.crash, now) : [];
  const commands = [...confirmed, ...suspicion.onBroken(state.quarantine, attempt, now)];
  return toCommands(state, commands, now);
}

/** Connections to the upstream are refused, or a probe got no answer. */
export function onDown(
  state: fleet.State,
  upstream: upstreams.Upstream,
  now: task.Instant,
): readonly decide.Command[] {
  const down = quarantine.suspicion.onDown(state.quarantine, crashOf(upstream), now);
  return toCommands(state, down, now);
}

/** The list tells of upstreams that are gone or have returned in a new incarnation. */
export function onListApplied(state: fleet.State, now: task.Instant): readonly decide.Command[] {
  const { broken } = state.quarantine;
  const crashes = broken.flatMap(({ attempt }) => {
    const upstream = state.registry.upstreams.get(attempt.upstream);
    const isDown =
      !upstream ||
      upstream.registrationState.kind === 'gone' ||
      crashOf(upstream) !== attempt.crash;
    return isDown ? [attempt.crash] : [];
  });
  const commands = [...new Set(crashes)].flatMap((crash) =>
    quarantine.suspicion.onDown(state.quarantine, crash, now),
  );
  return toCommands(state, commands, now);
}

export function onTick(state: fleet.State, now: task.Instant): readonly decide.Command[] {
  const ledger = state.quarantine;
  quarantine.tally.expire(ledger, now);
  quarantine.recording.refresh(ledger, now);
  return toCommands(
    state,
    [...quarantine.suspicion.onTick(ledger, now), ...quarantine.publishing.repeat(ledger, now)],
    now,
  );
}

/** With the writes that have become due. */
export function toCommands(
  state: fleet.State,
  given: readonly quarantine.Command[],
  now: task.Instant,
): readonly decide.Command[] {
  const ledger = state.quarantine;
  const commands = [
    ...given,
    ...quarantine.storing.takeDue(ledger, now),
    ...quarantine.recording.takeDue(ledger, now),
  ];
  return commands.flatMap((command): readonly decide.Command[] => {
    switch (command.kind) {
      case 'withdraw': {
        const { replyTo, upstream, reason } = command;
        const message = { type: 'fleet.attempt-withdrawn' as const, upstream, reason };
        return [{ kind: 'reply', replyTo, message }];
      }
      case 'probe-liveness':
        return reports.livenessProbe(state, command.upstream, now);
      case 'send-quarantine-update':
      case 'store-verdict':
      case 'store-crashes':
      case 'record-crashes-restored':
      case 'record-crash-suspects':
      case 'record-verdict':
      case 'record-verdict-lifted':
      case 'record-trial':
        return [command];
      default:
        return results.assertNever(command);
    }
  });
}

/** Answers a request with a part that crashes upstreams, or may. */
export function refuse(
  state: fleet.State,
  placementRequest: placement.Request,
  replyTo: gatewayMessages.RequestAddress,
  { reason, detail, freeInMs, commands }: Extract<quarantine.Decision, { kind: 'refused' }>,
  now: task.Instant,
): readonly decide.Command[] {
  const refusal = { reason, freeInMs, detail };
  return [
    { kind: 'record-placement', placementRequest, decision: { kind: 'none', ...refusal } },
    { kind: 'reply', replyTo, message: { type: 'fleet.not-placed', ...refusal } },
    ...toCommands(state, commands, now),
  ];
}
