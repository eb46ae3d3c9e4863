/** One entry of the journal. */
import type * as catalogue from './catalogue.js';

/** Plain values only, and never a prompt or a secret. */
export type Detail = string | number | boolean | readonly string[];

export type Event = {
  name: catalogue.EventName;
  /** The request that the event belongs to, for `medlarctl explain`. */
  requestId?: string;
  details: Record<string, Detail>;
};
