/** State of the membership task, and the commands that its shell executes. */
import type * as messages from '../messages/index.js';

/** The last heartbeat of one instance; `sequence` increases within one incarnation. */
export type ReceivedHeartbeat = {
  incarnation: string;
  /** The previous incarnation, whose delayed heartbeats are ignored. */
  previousIncarnation: string;
  sequence: number;
  atMs: number;
  silent: ReadonlySet<string>;
  cut: ReadonlySet<string>;
};

export type State = {
  ownName: string;
  ownDataCentre: string;
  incarnation: string;
  listed: readonly messages.ListedInstance[];
  /** Updated in place by the membership task, which alone owns it. */
  heard: Map<string, ReceivedHeartbeat>;
  members: readonly messages.Member[];
  sequence: number;
  generation: number;
  configurationConfirmedAtMs: number | undefined;
  tickedAtMs: number;
  /**
   * Until then no instance is marked silent: after the start, a pause, or newly listed instances.
   */
  graceUntilMs: number;
  isRelay: boolean;
  targets: HeartbeatTargets;
};

/** Recipients of this instance's heartbeats: on every tick, or on every third one. */
export type HeartbeatTargets = { frequent: readonly string[]; infrequent: readonly string[] };

export type Command =
  | { kind: 'watch-instances'; pauseMs: number }
  | { kind: 'publish'; members: readonly messages.Member[] }
  | { kind: 'heartbeat'; to: readonly string[]; heartbeat: messages.Heartbeat }
  | {
      kind: 'report-peer-confirmation';
      from: string;
      generation: number;
      ageMs: number | undefined;
    }
  | { kind: 'schedule-tick' };

export function initial(ownName: string, ownDataCentre: string, incarnation: string): State {
  return {
    ownName,
    ownDataCentre,
    incarnation,
    listed: [],
    heard: new Map(),
    members: [],
    sequence: 0,
    generation: 0,
    configurationConfirmedAtMs: undefined,
    tickedAtMs: -Infinity,
    graceUntilMs: 0,
    isRelay: true,
    targets: { frequent: [], infrequent: [] },
  };
}
