/** Guards against an instance that keeps one connection, as its system tells another limit than its machine has. */
import * as callerConnections from '@medlarweir/caller-connections';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('limits of connections');

const { limits } = callerConnections;

suite('the descriptors that are set count, and leave 500 to the rest of the process', async () => {
  const found = [2_069, 4_100, 400].map((maxDescriptors) =>
    limits.maxConnections({ maxConnections: 3_000, maxDescriptors }),
  );
  assert.equal(await Promise.all(found), [1_569, 3_000, 1]);
});

suite('without them, connections stay within the limit that the system tells', async () => {
  const most = await limits.maxConnections({ maxConnections: 1_000_000, maxDescriptors: 0 });
  assert.ok(most >= 1 && most <= 1_000_000);
});

suite.run();
