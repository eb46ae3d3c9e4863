/**
 * Retry budget of one instance: a fraction of the requests that it starts, so that retries do not
 * multiply an overload, and a small reserve, so that a rare failure is always retried.
 */
import type * as messages from '../messages/index.js';

/** Retries that each request adds to the budget. */
export const RETRIES_PER_REQUEST = 0.2;
/** Most retries that an instance saves up; also its initial budget. */
export const MAX_SAVED_RETRIES = 50;

export type Budget = { saved: number };

export const full: Budget = { saved: MAX_SAVED_RETRIES };

export function recordRequest({ saved }: Budget): Budget {
  return { saved: Math.min(MAX_SAVED_RETRIES, saved + RETRIES_PER_REQUEST) };
}

export function spendRetry(budget: Budget): {
  budget: Budget;
  answer: messages.RetryBudgetAnswer;
} {
  return budget.saved < 1
    ? { budget, answer: 'refused' }
    : { budget: { saved: budget.saved - 1 }, answer: 'granted' };
}
