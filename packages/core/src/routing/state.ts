/** State and commands of the routing task. Only that task updates the maps in it, in place. */
import type * as schema from '../configuration/schema.js';
import * as keptContext from '../kept-context/index.js';
import type * as task from '../kernel/task.js';
import * as links from '../links/index.js';
import * as load from '../load/index.js';
import type * as messages from '../messages/index.js';
import type * as capacity from './capacity.js';
import * as upstreamIndex from './upstream-index.js';
import * as prefillBacklogs from './prefill-backlogs.js';

/** A placed request that has not ended. */
export type InFlightRequest = {
  upstream: string;
  outline: messages.PromptOutline | undefined;
  /** Pieces that the placement expected in the engine's memory. */
  reusePieces: number;
};

export type State = {
  ownDataCentre: string;
  configuration: schema.Configuration | undefined;
  /** Derived from the configuration. */
  fleet: upstreamIndex.Index;
  isConfigurationConfirmed: boolean;
  directory: keptContext.directory.Directory;
  reuseHistory: keptContext.reuse.History;
  links: links.Links;
  work: prefillBacklogs.Backlogs;
  load: load.LoadView;
  inFlightRequests: Map<string, InFlightRequest>;
  nextExportId: number;
};

/** Digest that instances broadcast for routing; the module that reads a part validates it. */
export type Digest = { load?: unknown; directory?: unknown };

export type Command =
  | {
      kind: 'reply';
      replyTo: task.Address<messages.PlacementDecided>;
      message: messages.PlacementDecided;
    }
  | links.Command
  | { kind: 'drop-piece'; manifest: keptContext.Manifest }
  | { kind: 'request-engine-snapshot'; upstream: string }
  | { kind: 'request-store-snapshot'; store: string }
  | { kind: 'record-exported'; pieces: number }
  | { kind: 'broadcast'; digest: Digest }
  | { kind: 'report-capacity'; services: readonly capacity.ServiceCapacity[] }
  | { kind: 'request-cold-rights'; upstreams: readonly string[] }
  | { kind: 'schedule-tick' };

export type Step = task.Step<State, Command>;

export function initial(ownName: string, ownDataCentre: string): State {
  return {
    ownDataCentre,
    configuration: undefined,
    fleet: upstreamIndex.build(undefined),
    isConfigurationConfirmed: true,
    directory: keptContext.directory.create(),
    reuseHistory: keptContext.reuse.create(),
    links: links.create(),
    work: prefillBacklogs.create(),
    load: load.create(ownName),
    inFlightRequests: new Map(),
    nextExportId: 1,
  };
}
