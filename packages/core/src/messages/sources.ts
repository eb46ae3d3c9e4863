/** Messages to the task that watches the platform's objects, and writes those of single tasks. */
import type * as quarantine from '../quarantine/types.js';

/** `isTrial`: the write claims the trial of the part for this instance. */
export type SourcesMessage = {
  type: 'sources.store-verdict';
  verdict: quarantine.Verdict;
  /** 0 creates the object. */
  expectedVersion: number;
  isTrial: boolean;
};
