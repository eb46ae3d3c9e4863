import * as standIns from '@medlarweir/stand-ins';
import * as uvu from 'uvu';

import * as contract from './contracts/store.js';
import * as wire from './contracts/wire.js';

const suite = uvu.suite('contract of a store: stand-in');

async function aStore(wish: contract.Options): Promise<contract.Subject> {
  let store = await standIns.store.start(wish);
  return {
    address: store.address,
    makeFull: async () => {
      await wire.call(store.address, 'POST', '/control', { isFull: true });
    },
    restart: async () => {
      await store.close();
      store = await standIns.store.start(wish);
      return store.address;
    },
    end: () => store.close(),
  };
}

contract.describeStore(suite, aStore);
suite.run();
