/** Commands that the decisions about a request return for the request task to execute. */
import type * as events from '../events/index.js';
import type * as messages from '../messages/index.js';

export type Command =
  | { kind: 'ask-admission' }
  | { kind: 'release-admission' }
  | { kind: 'plan-prompt'; outline: messages.PromptOutline }
  | { kind: 'plan-call'; excluded: readonly string[] }
  | { kind: 'import'; order: messages.ImportOrder }
  | { kind: 'run'; order: messages.RunOrder }
  | { kind: 'resume'; runId: string; upstream: string; offset: number }
  | { kind: 'cancel'; runId: string; upstream: string }
  | { kind: 'flow'; runId: string; upstream: string; flow: messages.FlowControl }
  /** Replaces the idle connections to an upstream after one of them stopped responding. */
  | { kind: 'replace-connections'; upstream: string }
  | { kind: 'ask-retry-budget' }
  | { kind: 'claim'; key: string; digest: string; timeoutMs: number }
  | { kind: 'record'; claim: messages.Claim; outcome: messages.RecordedOutcome }
  | { kind: 'call'; call: messages.PlainCall }
  | { kind: 'report'; upstream: string; outcome: messages.PlacementOutcome }
  | { kind: 'answer'; answer: messages.CallerResponse }
  | { kind: 'schedule'; timer: messages.ExchangeTimer; delayMs: number }
  | { kind: 'unschedule'; timer: messages.ExchangeTimer }
  | { kind: 'record-event'; name: events.EventName; details: events.Event['details'] }
  | { kind: 'count'; name: messages.MetricName; by: number };
