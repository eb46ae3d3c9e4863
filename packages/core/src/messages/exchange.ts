/** One caller's request, what the caller is answered, and the messages of the task between the two. */
import type * as schema from '../configuration/schema.js';
import type * as task from '../kernel/task.js';
import type * as results from '../results/index.js';
import type * as admission from './admission.js';
import type * as claims from './claims.js';
import type * as configuration from './configuration.js';
import type * as life from './life.js';
import type * as routing from './routing.js';
import type * as upstreams from './upstreams.js';

/** A decoded request of an authenticated client account. */
export type Request =
  | {
      kind: 'prompt';
      requestId: string;
      clientAccount: schema.ClientAccount;
      service: schema.ModelService;
      prompt: string;
      maxTokens: number;
      /** Tokens that the caller already has from an earlier connection. */
      offset: number;
    }
  | {
      kind: 'plain';
      requestId: string;
      clientAccount: schema.ClientAccount;
      service: schema.PlainService;
      method: string;
      path: string;
      headers: Readonly<Record<string, string>>;
      body: Uint8Array;
      idempotencyKey: string | undefined;
    };

/** What the front end is told, in order; the last one is `refused`, `ended` or `whole`. */
export type Answer =
  | { type: 'answer.started'; requestId: string }
  | { type: 'answer.token'; requestId: string; offset: number; text: string }
  | { type: 'answer.ended'; requestId: string; finish: upstreams.Finish; usage: Usage }
  | { type: 'answer.whole'; requestId: string; answer: upstreams.PlainAnswer; isReplay: boolean }
  | {
      type: 'answer.refused';
      requestId: string;
      failure: results.Failure;
      truth: results.RunTruth;
      retryAfterMs: number | undefined;
    };

export type Usage = { promptTokens: number; completionTokens: number; cachedTokens: number };

export type ExchangeMessage =
  | life.TaskMessage
  | admission.AdmissionAnswered
  | routing.PlanMade
  | upstreams.RunReport
  | upstreams.ImportReport
  | upstreams.CallReport
  | claims.ClaimAnswered
  | claims.ClaimRecorded
  /** The caller went away. */
  | { type: 'exchange.cancelled' }
  /** The caller's connection takes more (or, after `paused`, nothing for now). */
  | { type: 'exchange.flow'; flow: Flow }
  | { type: 'retry.answered'; answer: RetryAnswer }
  | { type: 'exchange.timeout'; timer: ExchangeTimer };

/** `paused`: the caller's connection takes nothing for now. */
export type Flow = 'open' | 'paused';

/** Whether the instance's budget of retries allows one more. */
export type RetryAnswer = 'granted' | 'refused';

export type ExchangeTimer = 'progress' | 'deadline' | 'hedge' | 'retry';

/** Sent to the exchange task that keeps the lives of requests, to begin one. */
export type ExchangeBegin = {
  type: 'exchange.begin';
  request: Request;
  caller: task.Address<Answer>;
  /** Told at once where the caller's later messages go. */
  onBegun: task.Address<ExchangeBegun>;
};

/** Where a caller's later messages about its request go. */
export type ExchangeBegun = {
  type: 'exchange.begun';
  requestId: string;
  exchange: task.Address<ExchangeMessage>;
};

export type ExchangesMessage =
  | life.TaskMessage
  | configuration.ConfigurationAdopted
  | ExchangeBegin
  | { type: 'exchange.ask-retry'; replyTo: task.Address<ExchangeMessage> };
