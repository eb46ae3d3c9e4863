/** Messages to the task that watches the platform's objects, and writes those of single tasks. */
import type * as quarantine from '../quarantine/types.js';

/** `isTrial`: the write claims the trial of the part for this instance. */
export type VerdictWrite = {
  type: 'sources.store-verdict';
  verdict: quarantine.Verdict;
  /** 0 creates the object. */
  expectedVersion: number;
  isTrial: boolean;
};

/** Writes this instance's record of crashes. */
export type CrashesWrite = {
  type: 'sources.store-crashes';
  crashes: readonly quarantine.RecordedCrash[];
  /** 0 creates the object. */
  expectedVersion: number;
};

export type SourcesMessage = VerdictWrite | CrashesWrite;
