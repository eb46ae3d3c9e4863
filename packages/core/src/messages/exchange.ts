/**
 * Messages between a front end, the exchange task, and the short-lived task that handles one
 * request.
 */
import type * as schema from '../configuration/schema.js';
import type * as task from '../kernel/task.js';
import type * as results from '../results/index.js';
import type * as admission from './admission.js';
import type * as claims from './claims.js';
import type * as configuration from './configuration.js';
import type * as taskLifecycle from './task-lifecycle.js';
import type * as routing from './routing.js';
import type * as upstreams from './upstreams.js';

/** A decoded request of an authenticated client account. */
export type CallerRequest =
  | {
      kind: 'prompt';
      requestId: string;
      clientAccount: schema.ClientAccount;
      service: schema.ModelService;
      prompt: string;
      maxTokens: number;
      /** Number of tokens that the caller already has from an earlier connection. */
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

/** The responses to one request, in order. The last is `refused`, `ended` or `complete`. */
export type CallerResponse =
  | { type: 'response.started'; requestId: string }
  | { type: 'response.token'; requestId: string; offset: number; text: string }
  | { type: 'response.ended'; requestId: string; finish: upstreams.Finish; usage: Usage }
  | {
      type: 'response.complete';
      requestId: string;
      answer: upstreams.PlainResponse;
      isReplay: boolean;
    }
  | {
      type: 'response.refused';
      requestId: string;
      failure: results.Failure;
      truth: results.ExecutionStatus;
      retryAfterMs: number | undefined;
    };

export type Usage = { promptTokens: number; completionTokens: number; cachedTokens: number };

export type ExchangeMessage =
  | taskLifecycle.LifecycleMessage
  | admission.AdmissionAnswered
  | routing.PlacementDecided
  | upstreams.RunReport
  | upstreams.ImportReport
  | upstreams.CallReport
  | claims.ClaimAnswered
  | claims.ClaimRecorded
  /** The caller closed its connection. */
  | { type: 'exchange.caller-disconnected' }
  /** The caller's connection accepts more data (`open`), or none for now (`paused`). */
  | { type: 'exchange.flow-control'; flow: FlowControl }
  | { type: 'retry-budget.answered'; answer: RetryBudgetAnswer }
  | { type: 'exchange.timer-fired'; timer: ExchangeTimer };

/** `paused`: the connection accepts no data for now. */
export type FlowControl = 'open' | 'paused';

/** Whether the instance's retry budget allows another retry. */
export type RetryBudgetAnswer = 'granted' | 'refused';

export type ExchangeTimer = 'progress' | 'deadline' | 'hedge' | 'retry';

/** Asks the exchange task to start a task for one request. */
export type ExchangeBegin = {
  type: 'exchange.begin';
  request: CallerRequest;
  caller: task.Address<CallerResponse>;
  /** Receives the address of the new task immediately. */
  onBegun: task.Address<ExchangeBegun>;
};

/** The address for the caller's later messages about this request. */
export type ExchangeBegun = {
  type: 'exchange.begun';
  requestId: string;
  exchange: task.Address<ExchangeMessage>;
};

export type ExchangeSupervisorMessage =
  | taskLifecycle.LifecycleMessage
  | configuration.ConfigurationAdopted
  | ExchangeBegin
  | { type: 'exchange.ask-retry-budget'; replyTo: task.Address<ExchangeMessage> };
