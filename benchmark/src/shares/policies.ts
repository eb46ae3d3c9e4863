/** The decisions that are compared. */

/**
 * `shares`: the decisions of `core/shares` and `core/returns`. `previous`: those before them. `first-come`: no
 * limit of wait, engines serve in order. `least-loaded`: the engine with the fewest requests, no limit.
 * `equal-shares`: `previous`, and each account may use an equal part of the capacity and no more.
 */
export const POLICIES = [
  'shares',
  'previous',
  'first-come',
  'least-loaded',
  'equal-shares',
] as const;

export type Policy = (typeof POLICIES)[number];
