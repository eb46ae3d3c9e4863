/** Runs the platform contract against its stand-in, so that a stand-in that deviates from it fails here. */
import * as standIns from '@medlarweir/stand-ins';
import * as uvu from 'uvu';

import * as contract from './contracts/platform.js';
import * as wire from './contracts/wire.js';

const suite = uvu.suite('platform contract: stand-in');

async function aPlatform(): Promise<contract.Subject> {
  const { address, countCalls, close } = await standIns.platform.start();
  const control = async (body: unknown) => {
    await wire.call(address, 'POST', '/control', body);
  };
  return {
    address,
    setFault: (fault) => control({ fault }),
    dropHistory: async () => {
      await wire.call(address, 'POST', '/control/drop-history', {});
    },
    countCalls: () => {
      const { reads, writes, watches } = countCalls();
      return Promise.resolve(reads + writes + watches);
    },
    end: close,
  };
}

contract.describePlatform(suite, aPlatform);
suite.run();
