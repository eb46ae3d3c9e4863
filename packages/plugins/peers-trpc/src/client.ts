/** The tRPC client for one instance. */
import * as trpcClient from '@trpc/client';
import * as undici from 'undici';

import type * as router from './router.js';

/** Timeout of a call to an instance. */
const CALL_TIMEOUT_MS = 2_000;

export type Client = ReturnType<typeof create>;

export function create(address: string, deploymentKey: string) {
  return trpcClient.createTRPCClient<router.Router>({
    links: [
      trpcClient.httpLink({
        url: `http://${address}`,
        headers: { authorization: `Bearer ${deploymentKey}` },
        fetch: (input, init) =>
          undici.fetch(input as string, {
            ...(init as undici.RequestInit),
            signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
          }),
      }),
    ],
  });
}
