/** Commands of the claims decisions, executed by their shell. */
import type * as task from '../kernel/task.js';
import type * as messages from '../messages/index.js';
import type * as peerMessages from './peer-messages.js';
import type * as page from './page.js';

export type Command =
  | { kind: 'read'; correlationId: string; key: string }
  | {
      kind: 'write';
      correlationId: string;
      key: string;
      expectedVersion: number;
      value: page.Page;
      writeId: string;
    }
  | { kind: 'schedule'; timer: messages.ClaimsTimer; delayMs: number }
  | { kind: 'unschedule'; timer: messages.ClaimsTimer }
  /** A lost message to a peer only causes a delay. */
  | { kind: 'notify'; to: string; digest: peerMessages.Message }
  | {
      kind: 'answer';
      replyTo: task.Address<messages.ClaimAnswered>;
      message: messages.ClaimAnswered;
    }
  | {
      kind: 'confirm';
      replyTo: task.Address<messages.ClaimRecorded>;
      message: messages.ClaimRecorded;
    }
  | {
      kind: 'record-event';
      name: 'claimReleased' | 'claimsSuspended' | 'claimsResumed';
      detail: string;
    }
  /** No attempt is open any more; the instance may stop. */
  | { kind: 'left' };
