import * as standIns from '@medlarweir/stand-ins';
import * as uvu from 'uvu';

import * as contract from './contracts/engine.js';
import * as wire from './contracts/wire.js';

const suite = uvu.suite('contract of an engine: stand-in');

async function anEngine(wish: contract.Options): Promise<contract.Subject> {
  const { address, close } = await standIns.engine.start(wish);
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
