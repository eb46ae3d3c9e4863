/** Messages to the task that owns the callers' sockets. */
import type * as configuration from './configuration.js';
import type * as exchange from './exchange.js';
import type * as life from './life.js';

export type CallersMessage =
  | life.TaskMessage
  | configuration.ConfigurationAdopted
  | exchange.Answer
  | exchange.ExchangeBegun
  | { type: 'callers.listening'; address: string }
  | { type: 'callers.lag-passed' }
  | { type: 'callers.closed' };
