/** Runs the store contract against its stand-in, so that a stand-in that deviates from it fails here. */
import * as standIns from '@medlarweir/stand-ins';
import * as uvu from 'uvu';

import * as contract from './contracts/store.js';
import * as wire from './contracts/wire.js';

const suite = uvu.suite('store contract: stand-in');

async function aStore(options: contract.Options): Promise<contract.Subject> {
  let store = await standIns.store.start(options);
  return {
    address: store.address,
    makeFull: async () => {
      await wire.call(store.address, 'POST', '/control', { isFull: true });
    },
    restart: async () => {
      await store.close();
      store = await standIns.store.start(options);
      return store.address;
    },
    end: () => store.close(),
  };
}

contract.describeStore(suite, aStore);
suite.run();
