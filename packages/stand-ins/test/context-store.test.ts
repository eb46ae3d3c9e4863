/** Runs the context store contract against its stand-in, so that a stand-in that deviates from it fails here. */
import * as standIns from '@medlarweir/stand-ins';
import * as uvu from 'uvu';

import * as contract from './contracts/context-store.js';

const suite = uvu.suite('context store contract: stand-in');

async function aContextStore(): Promise<contract.Subject> {
  const store = await standIns.contextStore.start({ maxHeldCalls: 2 });
  return {
    address: store.address,
    save: (salt, id, tokens) => Promise.resolve(store.save(salt, id, tokens)),
    restart: () => Promise.resolve(store.restart()),
    end: store.close,
  };
}

contract.describeContextStore(suite, aContextStore);
suite.run();
