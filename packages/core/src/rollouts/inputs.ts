/** What the rollout's task is told of upstreams and stores. */

export type Upstream = {
  id: string;
  address: string;
  /** Weights in use, by model. */
  versions: Readonly<Record<string, number>>;
  /** Whether it answers; one that does not is left out of waves. */
  isReachable: boolean;
};

/** Parts of replaced weights that one store still holds. */
export type ObsoleteParts = {
  store: string;
  epoch: number;
  parts: readonly { salt: string; id: string }[];
};
