/** Inputs of the rollouts task about upstreams and context stores. */

export type Upstream = {
  id: string;
  address: string;
  /** Weight version in use, by model. */
  versions: Readonly<Record<string, number>>;
  /** Whether the upstream answers; unreachable ones are excluded from waves. */
  isReachable: boolean;
};

/** Parts of outdated weights that one store still holds. */
export type ObsoleteParts = {
  store: string;
  epoch: number;
  parts: readonly { salt: string; id: string }[];
};
