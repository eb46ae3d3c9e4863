/** Messages to the task that owns the callers' sockets. */
import type * as configuration from './configuration.js';
import type * as exchange from './exchange.js';
import type * as taskLifecycle from './task-lifecycle.js';

export type CallersMessage =
  | taskLifecycle.LifecycleMessage
  | configuration.ConfigurationAdopted
  | exchange.CallerResponse
  | exchange.ExchangeBegun
  | { type: 'callers.listening'; address: string }
  | { type: 'callers.balancer-lag-elapsed' }
  | { type: 'callers.closed' };
