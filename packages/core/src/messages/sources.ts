/** Messages to the task that watches the platform's objects, and writes those of single tasks. */
import type * as canary from '../canary/types.js';
import type * as task from '../kernel/task.js';
import type * as quarantine from '../quarantine/types.js';
import type * as platform from './platform.js';

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

/** Replaces the status of a canary release's order, if the order is at the version. */
export type OrderStatusWrite = {
  type: 'sources.write-order-status';
  correlationId: string;
  /** Name of the order. */
  name: string;
  expectedVersion: number;
  status: canary.OrderStatus;
  replyTo: task.Address<platform.PlatformAnswered>;
};

export type SourcesMessage = VerdictWrite | CrashesWrite | OrderStatusWrite;
