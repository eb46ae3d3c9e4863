/** Follows this instance's attempts, and suspects those that broke without an event when an upstream went down. */
import type * as task from '../kernel/task.js';
import * as clearing from './clearing.js';
import type * as command from './command.js';
import * as evidence from './evidence.js';
import type * as ledgers from './ledger.js';
import * as names from './names.js';
import * as publishing from './publishing.js';
import * as recording from './recording.js';
import type * as types from './types.js';

/** An upstream that went down is found so within this time; otherwise only its connections broke. */
const CONFIRMATION_MS = 1_500;
/** Ticks come every 500 ms; after a longer gap this instance was suspended. */
const SUSPENSION_MS = 1_500;
/** Breaks in a suspension are noticed this long after its end, at times that mean nothing. */
const AFTER_SUSPENSION_MS = 500;

/** Records that an attempt broke. Its upstream is probed at once. */
export function onBroken(
  ledger: ledgers.Ledger,
  attempt: ledgers.Attempt,
  now: task.Instant,
): readonly command.Command[] {
  if (attempt.hasBegun || suspectedParts(attempt).length === 0 || wasSuspended(ledger, now)) {
    return [];
  }
  const broken = { attempt, brokeAtMs: now.monotonicMs };
  const downAtMs = ledger.downAtMs.get(attempt.crash);
  if (downAtMs !== undefined && now.monotonicMs - downAtMs <= CONFIRMATION_MS) {
    return suspect(ledger, [broken], now);
  }
  const isProbed = ledger.broken.some((each) => each.attempt.upstream === attempt.upstream);
  Object.assign(ledger, { broken: [...ledger.broken, broken] });
  return isProbed ? [] : [{ kind: 'probe-liveness', upstream: attempt.upstream }];
}

/** Without a head, the last part says nothing: the upstream may only have held the request. */
function suspectedParts({ parts, lastPart, hasHead }: ledgers.Attempt): readonly string[] {
  return hasHead ? parts : parts.filter((part) => part !== lastPart);
}

/** The instance itself may have been stopped while upstreams came and went. */
function wasSuspended({ lastTickAtMs, resumedAtMs }: ledgers.Ledger, now: task.Instant): boolean {
  const sinceTickMs = now.monotonicMs - (lastTickAtMs ?? now.monotonicMs);
  return sinceTickMs > SUSPENSION_MS || now.monotonicMs - resumedAtMs < AFTER_SUSPENSION_MS;
}

/** The incarnation of the upstream with this crash id has gone down. */
export function onDown(
  ledger: ledgers.Ledger,
  crash: string,
  now: task.Instant,
): readonly command.Command[] {
  ledger.downAtMs.set(crash, now.monotonicMs);
  const found = ledger.broken.filter(({ attempt }) => attempt.crash === crash);
  if (found.length === 0) return [];
  Object.assign(ledger, { broken: ledger.broken.filter((each) => !found.includes(each)) });
  return suspect(ledger, found, now);
}

function suspect(
  ledger: ledgers.Ledger,
  found: readonly ledgers.BrokenAttempt[],
  now: task.Instant,
): readonly command.Command[] {
  const suspects = found
    .map(({ attempt, brokeAtMs }): types.Suspect => {
      const { crash, upstream, requestId, clientAccount, model, hasHead: hadHead } = attempt;
      const parts = suspectedParts(attempt).filter(
        (part) => !clearing.isCleared(ledger, names.partKey(model, part), now),
      );
      const ageMs = now.monotonicMs - brokeAtMs;
      return { crash, upstream, requestId, clientAccount, model, parts, hadHead, ageMs };
    })
    .filter(({ parts }) => parts.length > 0);
  if (suspects.length === 0) return [];
  const counted = evidence.addSuspects(ledger, suspects, 'at-once', now);
  recording.add(ledger, suspects, now);
  return [
    { kind: 'record-crash-suspects', suspects },
    ...counted,
    publishing.announce(ledger, { suspects, verdicts: verdictsOf(counted) }),
  ];
}

function verdictsOf(commands: readonly command.Command[]): readonly types.Verdict[] {
  return commands.flatMap((each) => (each.kind === 'record-verdict' ? [each.verdict] : []));
}

/** Drops attempts whose upstream was not found down, and asks again after the others. */
export function onTick(ledger: ledgers.Ledger, now: task.Instant): readonly command.Command[] {
  const { lastTickAtMs } = ledger;
  const wasStopped = lastTickAtMs !== undefined && now.monotonicMs - lastTickAtMs > SUSPENSION_MS;
  const broken = wasStopped
    ? []
    : ledger.broken.filter(({ brokeAtMs }) => now.monotonicMs - brokeAtMs < CONFIRMATION_MS);
  Object.assign(ledger, {
    broken,
    lastTickAtMs: now.monotonicMs,
    resumedAtMs: wasStopped ? now.monotonicMs : ledger.resumedAtMs,
  });
  [...ledger.downAtMs]
    .filter(([, atMs]) => now.monotonicMs - atMs > CONFIRMATION_MS)
    .forEach(([crash]) => ledger.downAtMs.delete(crash));
  const upstreams = new Set(broken.map(({ attempt }) => attempt.upstream));
  return [...upstreams].map((upstream) => ({ kind: 'probe-liveness', upstream }));
}
