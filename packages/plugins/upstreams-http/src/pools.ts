/** Keep-alive connections to upstreams: one pool per address. */
import * as undici from 'undici';

const CONNECT_TIMEOUT_MS = 1_000;

export type Pools = {
  poolFor(address: string): undici.Pool;
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
  return {
    poolFor(address) {
      const found = pools.get(address) ?? createPool(address);
      pools.set(address, found);
      return found;
    },
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

function createPool(address: string): undici.Pool {
  return new undici.Pool(`http://${address}`, { connect: { timeout: CONNECT_TIMEOUT_MS } });
}
