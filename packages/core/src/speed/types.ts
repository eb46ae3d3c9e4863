/** What is known of how fast a service and its upstreams work. Soft state of constant size. */

/** A logarithm of a factor on the time that work takes: 0 is the usual time of the service. */
export type LogFactor = number;

/** A mean that follows tens of samples; `samples` is the weight of those behind it. */
export type Level = { mean: LogFactor; samples: number };

/** A value that was current at `atMs`, in monotonic ms. */
export type Dated = { value: LogFactor; atMs: number };

/** Sums from which is computed how far answers confirm a prediction: the slope of what they showed on it. */
export type Confirmation = { cross: number; square: number };

/**
 * What the first event takes: a constant part, and parts that the speed of the upstream scales. What peers
 * told of their tokens is outdated when it is used: `msPerTokenOutdated` is taken off for each of these,
 * and `msPerTokenUsual` added for each that peers have on average at an upstream of the service.
 */
export type Coefficients = {
  constantMs: number;
  msPerToken: number;
  msPerRunning: number;
  msPerTokenUsual: number;
  msPerTokenOutdated: number;
};

/** The work on which a first event depends. */
export type Work = {
  /** Tokens that are prefilled before the first event, those ahead of the prompt included. */
  tokens: number;
  /** Those of them that peers told of. */
  peerTokens: number;
  /** What peers have ahead on average at the upstreams of the service. */
  usualPeerTokens: number;
  /** Requests at the upstream. */
  running: number;
};

/** A fit of the coefficients by least squares that forget. Updated in place. */
export type Fit = {
  /** Products of the regressors, a symmetric matrix by row, and those with the measured time. */
  products: number[][];
  targets: number[];
  samples: number;
  coefficients: Coefficients;
  /** Mean distance of the logarithms of predicted and measured times. */
  errorShare: number;
};

/** Shared by the upstreams of a service. Updated in place. */
export type ServiceModel = {
  fit: Fit;
  /** How far the answers of all upstreams are from the fit; a level counts from here. */
  usualShown: Level;
  /** Whether levels predict answers better than no levels. */
  levelConfirmation: Confirmation;
  confirmation: Confirmation;
  /** Largest reported slowdown that answers have confirmed lately. */
  confirmedExtent: LogFactor;
  /** Tokens that peers have ahead on average, and when this was computed. */
  usualPeerTokens: { tokens: number; atMs: number };
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
  /** How far this instance's own answers are from the fit. */
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
      work: Work;
      /** Tokens of the prompt itself that are prefilled. */
      ownTokens: number;
      /** Wait for a slot or for memory, which no speed explains. */
      blockedMs: number;
    }
  | { kind: 'plain'; expectedMs: number; waitMs: number };
