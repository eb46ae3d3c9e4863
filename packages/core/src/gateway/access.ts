/** Checks a request against the routing table and the age of that table's last confirmation. */
import type * as task from '../kernel/task.js';
import type * as codes from '../results/codes.js';
import * as staleness from './staleness.js';
import type * as request from './request.js';
import * as routes from './routes.js';

export type Known = {
  /** Of the active routing table. */
  index: routes.Index | undefined;
  /** When the queries were sent whose responses showed this to be the newest. */
  confirmations: staleness.Confirmations;
};

export type AccessDecision =
  | { kind: 'allowed'; route: routes.Route; clientAccount: routes.ClientAccount | undefined }
  | { kind: 'denied'; code: codes.CodeName; detail: string };

export function check(
  { index, confirmations }: Known,
  incoming: request.Request,
  bounds: staleness.StalenessBounds,
  now: task.Instant,
): AccessDecision {
  const freshness = staleness.freshness(confirmations, bounds, now);
  if (!index) return { kind: 'denied', code: 'configurationUnsure', detail: 'none read yet' };
  const route = routes.matchRoute(index, incoming.host, incoming.path);
  if (!route) return deny('unknownRoute', freshness, `${incoming.host} ${incoming.path}`);
  if (staleness.areEvacuationsUnsure(confirmations, bounds, now)) {
    return { kind: 'denied', code: 'configurationUnsure', detail: 'evacuations not confirmed' };
  }
  if (route.isAnonymous) return { kind: 'allowed', route, clientAccount: undefined };
  if (freshness === 'expired') return deny('unauthorized', freshness, route.name);
  const clientAccount = index.byCredential.get(incoming.credential ?? '');
  if (!clientAccount) return deny('unauthorized', freshness, route.name);
  return { kind: 'allowed', route, clientAccount };
}

/** With a possibly stale table the refusal is temporary: another instance may accept a retry. */
function deny(
  code: 'unauthorized' | 'unknownRoute',
  freshness: staleness.Freshness,
  detail: string,
): AccessDecision {
  if (freshness === 'fresh') return { kind: 'denied', code, detail };
  return { kind: 'denied', code: 'configurationUnsure', detail };
}
