/**
 * The budget of retries of one instance: a share of the requests that it begins, so that an
 * overload is not multiplied, and a small reserve, so that a rare fault is always retried.
 */
import type * as messages from '../messages/index.js';

/** Retries that each request adds to the budget. */
export const RETRIES_PER_REQUEST = 0.2;
/** The most that an instance saves up, and what it starts with. */
export const MAX_SAVED_RETRIES = 50;

export type RetryBudget = { saved: number };

export const fullBudget: RetryBudget = { saved: MAX_SAVED_RETRIES };

export function onRequest({ saved }: RetryBudget): RetryBudget {
  return { saved: Math.min(MAX_SAVED_RETRIES, saved + RETRIES_PER_REQUEST) };
}

export function onRetry(budget: RetryBudget): {
  budget: RetryBudget;
  answer: messages.RetryBudgetAnswer;
} {
  return budget.saved < 1
    ? { budget, answer: 'refused' }
    : { budget: { saved: budget.saved - 1 }, answer: 'granted' };
}
