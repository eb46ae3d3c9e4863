/** Whether a request is allowed by the routing table, as far as this instance can be sure. */
import type * as task from '../kernel/task.js';
import type * as codes from '../results/codes.js';
import * as staleness from './staleness.js';
import type * as request from './request.js';
import * as routes from './routes.js';

export type ActiveTable = {
  index: routes.Index | undefined;
  /** When the question was sent whose answer showed this table as the newest. */
  confirmedAt: task.Instant | undefined;
};

export type AccessDecision =
  | { kind: 'allowed'; route: routes.Route; clientAccount: routes.ClientAccount | undefined }
  | { kind: 'denied'; code: codes.CodeName; detail: string };

export function check(
  { index, confirmedAt }: ActiveTable,
  asked: request.Request,
  bounds: staleness.StalenessBounds,
  now: task.Instant,
): AccessDecision {
  const confidence = staleness.freshness(confirmedAt, bounds, now);
  if (!index) return { kind: 'denied', code: 'configurationUnsure', detail: 'none read yet' };
  const route = routes.matchRoute(index, asked.host, asked.path);
  if (!route) return deny('unknownRoute', confidence, `${asked.host} ${asked.path}`);
  if (route.isAnonymous) return { kind: 'allowed', route, clientAccount: undefined };
  if (confidence === 'expired') return deny('unauthorized', confidence, route.name);
  const clientAccount = index.byCredential.get(asked.credential ?? '');
  if (!clientAccount) return deny('unauthorized', confidence, route.name);
  return { kind: 'allowed', route, clientAccount };
}

/** An instance whose table may be old does not deny for good: the caller may come back elsewhere. */
function deny(
  code: 'unauthorized' | 'unknownRoute',
  confidence: staleness.Freshness,
  detail: string,
): AccessDecision {
  if (confidence === 'fresh') return { kind: 'denied', code, detail };
  return { kind: 'denied', code: 'configurationUnsure', detail };
}
