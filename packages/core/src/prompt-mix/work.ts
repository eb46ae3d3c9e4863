/**
 * How many of the prompts in flight at an upstream are long. Peers tell requests and prompt tokens only;
 * with the mean sizes of both classes, these two sums give the two numbers.
 */
import type * as peerWork from '../fleet/peer-work.js';
import type * as sizes from './sizes.js';

export type Split = { short: number; long: number };

export function split(
  { promptTokens, requests }: peerWork.InFlightWork,
  { meanShortTokens, meanLongTokens }: sizes.Boundary,
): Split {
  const surplus = promptTokens - requests * meanShortTokens;
  const long = Math.min(requests, Math.max(0, surplus / (meanLongTokens - meanShortTokens)));
  return { short: requests - long, long };
}
