/** Runs the engine contract against its stand-in, so that a stand-in that deviates from it fails here. */
import * as standIns from '@medlarweir/stand-ins';
import * as uvu from 'uvu';

import * as contract from './contracts/engine.js';
import * as wire from './contracts/wire.js';

const suite = uvu.suite('engine contract: stand-in');

async function anEngine(options: contract.Options): Promise<contract.Subject> {
  const { address, close } = await standIns.engine.start(options);
  const control = async (body: unknown) => {
    await wire.call(address, 'POST', '/control', body);
  };
  return {
    address,
    dropEvents: (loseEvery) => control({ reportFaults: { lagMs: 0, loseEvery } }),
    forgetRuns: () => control({ forgetRuns: true }),
    end: close,
  };
}

async function aStore() {
  const { address, close } = await standIns.store.start();
  return { address, end: close };
}

contract.describeEngine(suite, anEngine, aStore);
suite.run();
