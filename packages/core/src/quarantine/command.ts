/** What the quarantine asks of the fleet task. */
import type * as gatewayMessages from '../messages/gateway.js';
import type * as types from './types.js';

export type Command =
  | {
      kind: 'withdraw';
      replyTo: gatewayMessages.RequestAddress;
      upstream: string;
      reason: string;
    }
  | { kind: 'probe-liveness'; upstream: string }
  | { kind: 'send-quarantine-update'; update: types.Update; audience: types.Audience }
  | {
      kind: 'store-verdict';
      verdict: types.Verdict;
      expectedVersion: number;
      isTrial: boolean;
    }
  | {
      kind: 'store-crashes';
      crashes: readonly types.RecordedCrash[];
      expectedVersion: number;
    }
  | { kind: 'record-crashes-restored'; crashes: number; countedParts: number }
  | { kind: 'record-crash-suspects'; suspects: readonly types.Suspect[] }
  | { kind: 'record-verdict'; verdict: types.Verdict; quarantinedParts: number }
  | {
      kind: 'record-verdict-lifted';
      model: string;
      part: string;
      reason: LiftReason;
      quarantinedParts: number;
    }
  | { kind: 'record-trial'; requestId: string; parts: readonly string[]; model: string };

export type LiftReason = 'success' | 'success elsewhere' | 'removed from the store';
