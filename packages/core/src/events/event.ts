/** One event for the journal. */
import type * as catalogue from './catalogue.js';

/** A detail holds a plain value, and never a prompt or a secret. */
export type Detail = string | number | boolean | readonly string[];

export type Event = {
  name: catalogue.EventName;
  /** The request that the event belongs to; `medlarctl explain` selects by it. */
  requestId?: string;
  details: Record<string, Detail>;
};
