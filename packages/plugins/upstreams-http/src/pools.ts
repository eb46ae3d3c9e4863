/** Keep-alive connections to upstreams: one pool per address. */
import * as lineFeed from '@medlarweir/line-feed';
import * as undici from 'undici';

import type * as bodies from './bodies.js';

const CONNECT_TIMEOUT_MS = 1_000;

export type Pools = {
  /** Of the responses on all connections. */
  memory: bodies.Memory;
  poolFor(address: string): undici.Pool;
  /** Connections of the pool that failed or were reset so far. */
  breaksOf(dispatcher: undici.Dispatcher): number;
  /** Closes the pool: calls in flight on its connections may finish, new calls get a new pool. */
  replace(address: string): void;
  /** Runs a call on a dedicated connection, which is closed afterwards. */
  withNewConnection<Value>(
    address: string,
    call: (dispatcher: undici.Dispatcher) => Promise<Value>,
  ): Promise<Value>;
};

export function create(): Pools {
  const pools = new Map<string, undici.Pool>();
  const breaks = new WeakMap<undici.Dispatcher, number>();

  function createPool(address: string): undici.Pool {
    const connect = undici.buildConnector({ timeout: CONNECT_TIMEOUT_MS });
    const pool = new undici.Pool(`http://${address}`, {
      connect: (options, callback) => {
        connect(options, (...result) => {
          const [error, socket] = result;
          if (!error) lineFeed.watchBreaks(socket, () => breaks.set(pool, breaksOf(pool) + 1));
          callback(...result);
        });
      },
    });
    return pool;
  }

  function breaksOf(dispatcher: undici.Dispatcher): number {
    return breaks.get(dispatcher) ?? 0;
  }

  return {
    memory: { bufferedBytes: 0 },
    poolFor(address) {
      const found = pools.get(address) ?? createPool(address);
      pools.set(address, found);
      return found;
    },
    breaksOf,
    replace(address) {
      void pools.get(address)?.close();
      pools.delete(address);
    },
    async withNewConnection(address, call) {
      const ownPool = createPool(address);
      try {
        return await call(ownPool);
      } finally {
        await ownPool.destroy();
      }
    },
  };
}
