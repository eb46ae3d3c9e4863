/** The connections to upstreams that are kept between calls: one pool for each address. */
import * as undici from 'undici';

const CONNECT_TIMEOUT_MS = 1_000;

export type Pools = {
  poolFor(address: string): undici.Pool;
  /** Calls on the old connections may end; no new call goes there. */
  replace(address: string): void;
  /** Runs a call on a connection of its own, which is closed afterwards. */
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
      const own = createPool(address);
      try {
        return await call(own);
      } finally {
        await own.destroy();
      }
    },
  };
}

function createPool(address: string): undici.Pool {
  return new undici.Pool(`http://${address}`, { connect: { timeout: CONNECT_TIMEOUT_MS } });
}
