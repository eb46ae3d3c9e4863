/** Types of the ledger of client accounts. */
import type * as peerWork from '../fleet/peer-work.js';
import type * as decayed from './decayed.js';

/** Short hash of a client account's name; its length bounds the size of updates. */
export type AccountKey = string;

/** Usage of one service, as peers exchange it: the largest accounts, and the sum of the others. */
export type ServiceUsage = {
  service: string;
  accounts: readonly { account: AccountKey; amounts: decayed.Amounts }[];
  /** The accounts that are not listed, as a sum. */
  rest: decayed.Amounts & { accounts: number };
};

export type Update = {
  from: string;
  scope: peerWork.Scope;
  incarnation: string;
  sentAtMs: number;
  services: readonly ServiceUsage[];
};

/** Latest usage told by one peer. */
export type Report = {
  scope: peerWork.Scope;
  incarnation: string;
  sentAtMs: number;
  receivedAtMs: number;
  services: ReadonlyMap<string, ServiceUsage>;
};

/** Shares in one service as last computed, for all instances together. */
export type View = {
  atMs: number;
  level: number;
  /** Work of the other instances as of `atMs`. */
  others: ReadonlyMap<AccountKey, decayed.Amounts>;
  /** Refused work as a share of all work asked for. */
  refusedShare: number;
  /** Work that was asked for, of all instances and of this one. */
  demand: number;
  ownDemand: number;
};

/** Work charged to an attempt in flight, to be corrected when its true amount is known. */
export type Charge = { service: string; account: AccountKey; work: number; atMs: number };

/** Demand of one rank in one service at this instance. */
export type RankDemand = {
  /** When a request of the rank was last seen, in monotonic ms. */
  seenAtMs: number;
  /** Work that was started. */
  work: decayed.Sum;
  /** Longest wait that requests of the rank accept without contention. */
  usualWaitMs: number;
};

/** Work that this instance may start at present, in the units of the ledger. */
export type Pace = {
  /** As of `atMs`; negative if more was started. */
  allowance: number;
  /** Growth of the allowance; 0 if there is no pace. */
  perMs: number;
  atMs: number;
  /** When `perMs` was set. */
  ratedAtMs: number;
};

/** Soft state; updated in place, since only the fleet task sees it. */
export type Ledger = {
  own: Map<string, Map<AccountKey, decayed.Sum>>;
  /** Attempts in flight by request id. */
  charges: Map<string, Charge>;
  reports: Map<string, Report>;
  views: Map<string, View>;
  /** By service. */
  paces: Map<string, Pace>;
  /** By service and rank. */
  ranks: Map<string, Map<number, RankDemand>>;
  /** Names of the accounts in `own`, for the journal. */
  names: Map<AccountKey, string>;
  /** When this instance last sent its usage. */
  sentAtMs: number;
};
