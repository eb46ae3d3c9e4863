/** The routing task's state and its commands. Maps in it are updated in place by that task alone. */
import type * as schema from '../configuration/schema.js';
import * as keptContext from '../kept-context/index.js';
import type * as task from '../kernel/task.js';
import * as links from '../links/index.js';
import * as load from '../load/index.js';
import type * as messages from '../messages/index.js';
import type * as capacity from './capacity.js';
import * as fleet from './fleet.js';
import * as workAhead from './work-ahead.js';

/** A placed request until it has ended. */
export type Placed = {
  upstream: string;
  outline: messages.PromptOutline | undefined;
  /** Pieces that the plan expected in the engine's memory. */
  reusePieces: number;
};

export type State = {
  ownDataCentre: string;
  configuration: schema.Configuration | undefined;
  /** Made of the configuration. */
  fleet: fleet.Fleet;
  isConfirmed: boolean;
  directory: keptContext.directory.Directory;
  returns: keptContext.returns.Returns;
  links: links.Links;
  work: workAhead.WorkAhead;
  load: load.LoadView;
  placed: Map<string, Placed>;
  nextExport: number;
};

/** What instances tell each other for routing; each part is checked by the part that reads it. */
export type Digest = { load?: unknown; directory?: unknown };

export type Command =
  | {
      kind: 'reply';
      replyTo: task.Address<messages.PlacementDecided>;
      message: messages.PlacementDecided;
    }
  | links.Command
  | { kind: 'drop'; manifest: keptContext.Manifest }
  | { kind: 'resynchronize-engine'; upstream: string }
  | { kind: 'resynchronize-store'; store: string }
  | { kind: 'note-exported'; pieces: number }
  | { kind: 'broadcast'; digest: Digest }
  | { kind: 'tell-capacity'; services: readonly capacity.ServiceCapacity[] }
  | { kind: 'want-cold-rights'; upstreams: readonly string[] }
  | { kind: 'schedule-tick' };

export type Step = task.Step<State, Command>;

export function initial(ownName: string, ownDataCentre: string): State {
  return {
    ownDataCentre,
    configuration: undefined,
    fleet: fleet.of(undefined),
    isConfirmed: true,
    directory: keptContext.directory.create(),
    returns: keptContext.returns.create(),
    links: links.create(),
    work: workAhead.create(),
    load: load.create(ownName),
    placed: new Map(),
    nextExport: 1,
  };
}
