/** Messages to and from the admission task: shares, priorities, queues, deadlines. */
import type * as schema from '../configuration/schema.js';
import type * as task from '../kernel/task.js';
import type * as results from '../results/index.js';
import type * as configuration from './configuration.js';
import type * as taskLifecycle from './task-lifecycle.js';
import type * as peers from './peers.js';

export type AdmissionAnswer =
  { kind: 'granted' } | { kind: 'refused'; failure: results.Failure; retryAfterMs: number };

export type AdmissionAnswered = {
  type: 'admission.answered';
  requestId: string;
  answer: AdmissionAnswer;
};

export type AdmissionMessage =
  | taskLifecycle.LifecycleMessage
  | configuration.ConfigurationAdopted
  | peers.DigestReceived
  | {
      type: 'admission.acquire';
      requestId: string;
      clientAccount: string;
      service: string;
      priority: schema.Priority;
      deadlineMs: number;
      replyTo: task.Address<AdmissionAnswered>;
    }
  /** Releases a granted slot, or withdraws a request that is still queued. */
  | { type: 'admission.release'; requestId: string }
  /**
   * This instance's share of a service's free slots, and the number of its upstreams that accept
   * work, as routing sees them.
   */
  | { type: 'admission.capacity-changed'; service: string; freeSlots: number; upstreams: number }
  | { type: 'admission.tick' };
