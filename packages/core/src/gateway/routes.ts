/** The routing table: which request may go to which service, for whom, and how often. */

/** What may be repeated. `resumable`: a stream that another upstream can continue. */
export type RetryPolicy = 'retryable' | 'resumable' | 'at-most-once';
/** `stream`: events are passed on as they arrive. `whole`: the answer is passed on when complete. */
export type ResponseMode = 'whole' | 'stream';

export type WeightedService = { service: string; weight: number };

export type Route = {
  name: string;
  host: string;
  /** Begins and ends with a slash. */
  pathPrefix: string;
  services: readonly WeightedService[];
  retryPolicy: RetryPolicy;
  responseMode: ResponseMode;
  /** Upstreams on which one request may run. */
  maxRuns: number;
  /** The longest that a request may stay unanswered. */
  timeoutMs: number;
  /** The time to the (first part of the) answer that callers count on. */
  latencyTargetMs: number;
  /** The longest pause between two events of a stream that is still on time. */
  maxEventGapMs: number;
  /** 0 is the most urgent. */
  priority: number;
  isAnonymous: boolean;
};

export type ClientAccount = {
  name: string;
  credentials: readonly string[];
  priority: number | undefined;
  /** Shares no kept context with any other client account. */
  isIsolated: boolean;
};

/** A model engine, or a plain service. */
export type Engine = {
  /** Tokens that its memory holds. */
  cacheCapacityTokens: number;
};

export type Service = {
  name: string;
  healthPath: string;
  /** Connections that one upstream accepts from all callers together. */
  maxConnections: number;
  coldStartMs: number;
  /** Requests a second that a cold upstream bears, from all instances together. */
  coldPerS: number;
  engine: Engine | undefined;
};

/** A store of kept context that the system itself fills and empties. */
export type ContextStore = {
  name: string;
  address: string;
  dataCentre: string;
  capacityTokens: number;
  /** Calls for its events that it holds at once. */
  maxReaders: number;
};

/** What callers may send. */
export type Limits = {
  maxHeaderBytes: number;
  maxBodyBytes: number;
  headerTimeoutMs: number;
  idleTimeoutMs: number;
};

export type RoutingTable = {
  /** Grows with each change; an instance never goes back to a lower one. */
  version: number;
  routes: readonly Route[];
  clientAccounts: readonly ClientAccount[];
  services: readonly Service[];
  contextStores: readonly ContextStore[];
  limits: Limits;
};

/** The table with look-ups made once. */
export type Index = {
  table: RoutingTable;
  /** Routes by host, those with the longest prefix first. */
  byHost: ReadonlyMap<string, readonly Route[]>;
  byCredential: ReadonlyMap<string, ClientAccount>;
};

export function buildIndex(table: RoutingTable): Index {
  const byHost = new Map<string, Route[]>();
  table.routes.forEach((route) => {
    byHost.set(route.host, [...(byHost.get(route.host) ?? []), route]);
  });
  byHost.forEach((routes) => routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length));
  const byCredential = new Map(
    table.clientAccounts.flatMap((account) =>
      account.credentials.map((credential) => [credential, account] as const),
    ),
  );
  return { table, byHost, byCredential };
}

/** The route with the longest prefix of the path; the query is not part of it. */
export function matchRoute({ byHost }: Index, host: string, path: string): Route | undefined {
  const plainPath = path.split('?', 1)[0] ?? path;
  return byHost.get(host)?.find(({ pathPrefix }) => plainPath.startsWith(pathPrefix));
}

/** Chooses a service by weight; `draw` is from 0 up to but not including 1. */
export function chooseService({ services }: Route, draw: number): string {
  const total = services.reduce((sum, { weight }) => sum + weight, 0);
  const found = services.reduce(
    ({ left, service }, each) =>
      service === undefined && left < each.weight
        ? { left, service: each.service }
        : { left: left - each.weight, service },
    { left: draw * total, service: undefined as string | undefined },
  );
  return found.service ?? services.at(-1)?.service ?? '';
}
