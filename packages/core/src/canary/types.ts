/** Orders of canary releases, the steps of a release, and what instances tell each other of it. */

export type OrderState = 'running' | 'completed' | 'rolled_back';

/** What the system writes for the operator's tools. */
export type OrderStatus = { state: OrderState; to: string };

/** An operator's order to move a service to a version of its upstreams' software. */
export type Order = {
  /** Name of the order's object. */
  name: string;
  service: string;
  to: string;
  /** Time from the order within which a good version is completed. */
  durationMs: number;
  /** Undefined until the system has written one. */
  status: OrderStatus | undefined;
  /** Version of the object, for conditional writes. */
  version: number;
};

/**
 * How the requests of a service are divided. `unproven`: a small share goes to the new version.
 * `shifting`: the given share does. `shifted`: all do. `stopped`: none does. `closed`: the store says how
 * the release ended, and only shunned versions get no request.
 */
export type Stage = 'unproven' | 'shifting' | 'shifted' | 'stopped' | 'closed';

/** What the fleet task needs of a release. */
export type Release = {
  service: string;
  to: string;
  /** The last step that this instance knows of; see `steps.STEPS`. */
  step: number;
  stage: Stage;
  /** Share of requests that are assigned to the new version. */
  share: number;
  /** Versions that were rolled back or replaced, or whose order was not completed; they get no request. */
  shunned: readonly string[];
};

/** The number of responses of one side, its failures, and its latencies. */
export type Counts = {
  responses: number;
  failures: number;
  /** Responses by latency; see `evidence.binOf`. Trailing zeros are left out. */
  latencies: readonly number[];
};

/** Responses to like requests: the same route and class of prompt size. */
export type Cell = { next: Counts; previous: Counts };
export type Cells = Readonly<Record<string, Cell>>;

export type Side = keyof Cell;

/** The end of one attempt. Outcomes that say nothing about the version are not told. */
export type Sample = {
  service: string;
  softwareVersion: string;
  route: string;
  /** 0 for a plain request. */
  promptTokens: number;
  isFailure: boolean;
  /** From the placement until the end of the answer, in ms. */
  latencyMs: number;
};

/**
 * What one instance, or the reader of a group, tells of a release. `step` and `isBad` only rise, so
 * that updates may be lost, repeated or reordered. `cells` holds responses that no update before told.
 */
export type Report = {
  service: string;
  to: string;
  step: number;
  isBad: boolean;
  /** Age of the order, as far as the sender knows. */
  ageMs: number;
  /** Instances that the report stands for. */
  instances: number;
  /** The lowest step that is in force at one of them. */
  stepInForce: number;
  /** Their requests in flight at other versions than the new one. */
  previousInFlight: number;
  cells: Cells;
};

export type Update = { from: string; scope: 'own' | 'group' | 'fleet'; reports: readonly Report[] };

/** Software versions of a service's upstreams, as the fleet task reports them. */
export type ServiceVersions = {
  service: string;
  /** Step of the release that the fleet task applies; 0 without one. */
  step: number;
  versions: readonly { softwareVersion: string; upstreams: number; inFlight: number }[];
};

/** From the settings. */
export type Bounds = {
  /** Largest share of a service's requests that an unproven version may get, over all instances. */
  exposureShare: number;
  /** Requests allowed beyond that share. */
  exposureSlack: number;
  /** Time from the fiftieth bad response until the last request to a bad version, in ms. */
  rollbackMs: number;
};
