/** Whether a request may go to an upstream, as far as it and the parts of its prompt are concerned. */
import type * as task from '../kernel/task.js';
import * as clearing from './clearing.js';
import type * as command from './command.js';
import type * as ledgers from './ledger.js';
import * as names from './names.js';
import * as tally from './tally.js';
import * as trials from './trials.js';
import * as verdicts from './verdicts.js';

/** Most answers begin within this time, and clear their parts. */
const ONE_AT_A_TIME_RETRY_MS = 1_000;

export type Request = {
  requestId: string;
  clientAccount: string;
  model: string;
  /** Those of its prompt, and the request itself. */
  parts: readonly string[];
  /** Whether an attempt before this one may have run. */
  isRepeat: boolean;
};

export type Decision =
  /** `trialOf`: quarantined parts that this request may try. */
  | { kind: 'allowed'; trialOf: readonly string[] }
  | {
      kind: 'refused';
      reason: 'quarantined' | 'suspected' | 'one-at-a-time';
      detail: string;
      /** Expected time until the part is known to be sound or not, where that is awaited. */
      freeInMs: number | undefined;
      commands: readonly command.Command[];
    };

export function check(ledger: ledgers.Ledger, request: Request, now: task.Instant): Decision {
  const { model, parts, clientAccount } = request;
  const condemned = parts.flatMap((part) => {
    const known = ledger.verdicts.get(names.partKey(model, part));
    const isBound = known && verdicts.binds(known.verdict, clientAccount);
    return isBound && verdicts.concerns(known.verdict, parts) ? [known] : [];
  });
  const [first] = condemned;
  if (first && condemned.some(({ trial }) => trial.kind !== 'granted')) {
    const detail = verdicts.describe(first.verdict);
    const commands = trials.claim(ledger, condemned, now);
    return { kind: 'refused', reason: 'quarantined', detail, freeInMs: undefined, commands };
  }
  const suspected = request.isRepeat ? suspectedPart(ledger, request, now) : undefined;
  if (suspected !== undefined) {
    const detail = `${names.describe(model, suspected)} is suspected of a crash`;
    return { kind: 'refused', reason: 'suspected', detail, freeInMs: undefined, commands: [] };
  }
  const awaited = awaitedPart(ledger, request, now);
  if (awaited !== undefined) {
    const detail = `${names.describe(model, awaited)} is suspected of a crash, and in flight already`;
    const freeInMs = ONE_AT_A_TIME_RETRY_MS;
    return { kind: 'refused', reason: 'one-at-a-time', detail, freeInMs, commands: [] };
  }
  return { kind: 'allowed', trialOf: condemned.map(({ verdict }) => verdict.part) };
}

/** The first request with a part may be sent again, beside others that the part also crashed it may not. */
function suspectedPart(
  ledger: ledgers.Ledger,
  { requestId, model, parts }: Request,
  now: task.Instant,
): string | undefined {
  return parts.find((part) => {
    const key = names.partKey(model, part);
    if (clearing.isCleared(ledger, key, now)) return false;
    return ledger.verdicts.has(key) || tally.isCountedForOther(ledger, key, requestId);
  });
}

/**
 * A counted part with which another request is in flight and has not begun. Several would wait at the
 * upstreams that are left, and crash them before the first crash is counted.
 */
function awaitedPart(
  ledger: ledgers.Ledger,
  { requestId, model, parts }: Request,
  now: task.Instant,
): string | undefined {
  const counted = parts.filter((part) => {
    const key = names.partKey(model, part);
    const isCounted = ledger.tallies.has(key) || ledger.verdicts.has(key);
    return isCounted && !clearing.isCleared(ledger, key, now);
  });
  if (counted.length === 0) return undefined;
  const waiting = [...ledger.attempts.values()].filter(
    (each) => !each.hasBegun && each.model === model && each.requestId !== requestId,
  );
  return counted.find((part) => waiting.some((each) => each.parts.includes(part)));
}
