/** The routing table: matches requests to routes and services, and defines their retry policies. */

/** Whether a request may run again. `resumable`: another upstream can continue the stream. */
export type RetryPolicy = 'retryable' | 'resumable' | 'at-most-once';
/** `stream`: forwards events as they arrive. `whole`: forwards the response when it is complete. */
export type ResponseMode = 'whole' | 'stream';

export type WeightedService = { service: string; weight: number };

export type Route = {
  name: string;
  host: string;
  /** Starts and ends with a slash. */
  pathPrefix: string;
  services: readonly WeightedService[];
  retryPolicy: RetryPolicy;
  responseMode: ResponseMode;
  /** Most upstreams on which one request may run. */
  maxRuns: number;
  /** Longest time until a request is answered. */
  timeoutMs: number;
  /** Target for the time to the response, or to the first event of a stream. */
  latencyTargetMs: number;
  /** Longest time between two events of a stream that still meets the target. */
  maxEventGapMs: number;
  /** 0 is the most urgent. */
  priority: number;
  isAnonymous: boolean;
};

export type ClientAccount = {
  name: string;
  credentials: readonly string[];
  priority: number | undefined;
  /** Whether kept context is never shared with another client account. */
  isIsolated: boolean;
};

/** A model engine, or a plain service. */
export type Engine = {
  /** Tokens that its cache holds. */
  cacheCapacityTokens: number;
};

export type Service = {
  name: string;
  healthPath: string;
  /** Connections that one upstream accepts from all instances together. */
  maxConnections: number;
  coldStartMs: number;
  /** Requests per second that a cold upstream can take, from all instances together. */
  coldPerS: number;
  engine: Engine | undefined;
};

/** A store of kept context that the system itself fills and evicts from. */
export type ContextStore = {
  name: string;
  address: string;
  dataCentre: string;
  capacityTokens: number;
  /** Most event requests that it keeps open at once. */
  maxReaders: number;
};

/** Limits on callers' requests and connections. */
export type Limits = {
  maxHeaderBytes: number;
  maxBodyBytes: number;
  headerTimeoutMs: number;
  idleTimeoutMs: number;
};

export type RoutingTable = {
  /** Increases with each change; an instance never returns to a lower one. */
  version: number;
  routes: readonly Route[];
  clientAccounts: readonly ClientAccount[];
  services: readonly Service[];
  contextStores: readonly ContextStore[];
  limits: Limits;
};

/** The table with its lookup maps. */
export type Index = {
  table: RoutingTable;
  /** Routes by host, longest prefix first. */
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

/** Returns the route with the longest matching prefix of the path, without the query. */
export function matchRoute({ byHost }: Index, host: string, path: string): Route | undefined {
  const plainPath = path.split('?', 1)[0] ?? path;
  return byHost.get(host)?.find(({ pathPrefix }) => plainPath.startsWith(pathPrefix));
}

/** Chooses a service by weight. `draw` is in [0, 1). */
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

/** The priorities of routes and client accounts, in ascending order. */
export function ranksInUse({ routes, clientAccounts }: RoutingTable): readonly number[] {
  const all = [...routes, ...clientAccounts].flatMap(({ priority }) => priority ?? []);
  return [...new Set(all)].sort((a, b) => a - b);
}

/** The longest that a stream that may be taken up can take; 0 without such routes. */
export function longestStreamMs({ routes }: RoutingTable): number {
  const resumable = routes.filter(({ retryPolicy }) => retryPolicy === 'resumable');
  return Math.max(0, ...resumable.map(({ timeoutMs }) => timeoutMs));
}
