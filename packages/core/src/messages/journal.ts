/** Messages to the journal task, which writes events, and to the metrics task. */
import type * as events from '../events/event.js';
import type * as taskLifecycle from './task-lifecycle.js';

export type JournalMessage =
  taskLifecycle.LifecycleMessage | { type: 'journal.record'; event: events.Event };

export type MetricsMessage =
  | taskLifecycle.LifecycleMessage
  | { type: 'metrics.count'; name: MetricName; by: number; label?: string }
  | { type: 'metrics.timing'; name: MetricName; ms: number; label?: string }
  | { type: 'metrics.gauge'; name: MetricName; value: number };

/** The metrics that the system sends, each under the prefix `medlarweir.`. */
export type MetricName =
  | 'requests.accepted'
  | 'requests.refused'
  | 'requests.ended'
  | 'requests.open'
  | 'tokens.streamed'
  | 'tokens.reused'
  | 'tokens.imported'
  | 'first_token'
  | 'claims.writes'
  | 'answers.dropped'
  | 'callers.dropped'
  | 'memory.collections'
  | 'peers.notes'
  | 'platform.calls'
  | 'gateway.requests'
  | 'gateway.denied'
  | 'gateway.relays'
  | 'gateway.whole'
  | 'gateway.first_event'
  | 'gateway.prediction_error'
  | 'gateway.prompts'
  | 'gateway.interference'
  | 'gateway.quarantine'
  | 'gateway.quarantined_parts'
  | 'gateway.load_refusals'
  | 'gateway.waits'
  | 'gateway.returns'
  | 'gateway.overuse'
  | 'gateway.cut_off'
  | 'canary.step'
  | 'canary.responses'
  | 'canary.writes'
  | 'transport.connections'
  | 'platform.answered';
