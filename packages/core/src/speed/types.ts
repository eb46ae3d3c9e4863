/** What is known of how fast a service and its upstreams work. Soft state of constant size. */

/** A logarithm of a factor on the time that work takes: 0 is the usual time of the service. */
export type LogFactor = number;

/** A mean that follows tens of samples; `samples` is the weight of those behind it. */
export type Level = { mean: LogFactor; samples: number };

/** A value that was current at `atMs`, in monotonic ms. */
export type Dated = { value: LogFactor; atMs: number };

/** Sums from which the share of a reported slowdown that answers confirm is computed. */
export type Confirmation = { cross: number; square: number };

/** What the first event takes: a constant part, and parts that the speed of the upstream scales. */
export type Coefficients = { constantMs: number; msPerToken: number; msPerRunning: number };

/** A fit of the coefficients by least squares that forget. Updated in place. */
export type Fit = {
  /** Symmetric matrix of the products of the regressors, by row, and those with the target. */
  products: [[number, number, number], [number, number, number], [number, number, number]];
  targets: [number, number, number];
  samples: number;
  coefficients: Coefficients;
  /** Mean distance of the logarithms of predicted and measured times. */
  errorShare: number;
};

/** Shared by the upstreams of a service. Updated in place. */
export type ServiceModel = {
  fit: Fit;
  confirmation: Confirmation;
  /** Largest reported slowdown that answers have confirmed lately. */
  confirmedExtent: LogFactor;
  /** Logarithm of the time in ms that plain work takes without a queue. */
  plainWork: Level;
  /** Rate at which callers' prompts would meet their latency targets; used until there are samples. */
  requiredTokensPerMs: number;
  /** Logarithm of the time in ms from the sending of a prompt to the end of its answer. */
  residence: Level;
};

/** Whose observations a value told by peers sums up; see `peerWork.Scope`. */
export type Scope = 'own' | 'group' | 'fleet';

export type Heard = { level: Level; atMs: number };

/** How one upstream differs from its service. Updated in place. */
export type UpstreamModel = {
  /** From this instance's own answers. */
  level: Level;
  /** How far the newest answers were from the level; decays. */
  deviation: Dated | undefined;
  /** The newest slowdown that the upstream reported to this instance or to a peer. */
  report: Dated | undefined;
  confirmation: Confirmation;
  heard: Map<Scope, Heard>;
  /** When the load that it reports was current. */
  loadAtMs: number;
  /** When the newest sample of this instance came. */
  sampledAtMs: number | undefined;
};

/** What was expected of an attempt as it was placed. */
export type Forecast =
  | {
      kind: 'prompt';
      expectedMs: number;
      /** Tokens that are prefilled before the first event, those ahead of the prompt included. */
      tokens: number;
      /** Requests at the upstream. */
      running: number;
      /** Wait for a slot or for memory, which no speed explains. */
      blockedMs: number;
    }
  | { kind: 'plain'; expectedMs: number; waitMs: number };
