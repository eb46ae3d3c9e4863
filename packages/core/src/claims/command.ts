/** What the decisions about claims ask their shell to do. */
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
  /** Losing a digest costs a delay and nothing else. */
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
  /** Nothing more is held; the instance may stop. */
  | { kind: 'left' };
