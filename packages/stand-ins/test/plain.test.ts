/** Runs the plain service contract against its stand-in, so that a stand-in that deviates from it fails here. */
import * as standIns from '@medlarweir/stand-ins';
import * as uvu from 'uvu';

import * as contract from './contracts/plain.js';
import * as wire from './contracts/wire.js';

const suite = uvu.suite('plain service contract: stand-in');

async function aPlainService(): Promise<contract.Subject> {
  const { address, stats, close } = await standIns.plain.start();
  return {
    address,
    setFault: async (fault) => {
      await wire.call(address, 'POST', '/control', { fault });
    },
    countRuns: (reference) => Promise.resolve(stats().runs[reference] ?? 0),
    end: close,
  };
}

contract.describePlain(suite, aPlainService);
suite.run();
