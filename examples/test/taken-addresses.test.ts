/** Guards against an instance that goes on, or ends as if by a defect, when its address is taken. */
import * as net from 'node:net';

import * as examples from '@medlarweir/examples';
import * as standIns from '@medlarweir/stand-ins';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('addresses of an instance that are taken');

const FAILED_EVENT = 108;
const TASK_FAILED = 4;
const FREE = '127.0.0.1:0';

type Ended = { code: number | string; reasons: readonly unknown[] };

/** Runs an instance to its end. */
async function endOf(platform: string, callers: string, peers: string): Promise<Ended> {
  const settings = ['--name', 'instance-1', '--data-centre', 'dc-1', '--platform', platform];
  const key = ['--deployment-key', 'a-key-of-sixteen-or-more'];
  const addresses = ['--callers', callers, '--peers', peers];
  const started = examples.processes.start(examples.processes.BINARIES.medlarweir, [
    ...settings,
    ...key,
    ...addresses,
  ]);
  await started.waitForLine(({ event }) => (event === FAILED_EVENT ? true : undefined));
  const code = await started.exited;
  const failures = started.outputLines().filter(({ event }) => event === FAILED_EVENT);
  return { code, reasons: failures.map(({ reason }) => reason) };
}

(['callers', 'peers'] as const).forEach((setting) => {
  suite(`an instance whose address for ${setting} is taken ends`, async () => {
    const platform = await standIns.platform.start();
    const holder = net.createServer();
    const taken = await standIns.addresses.listen(holder);
    const { code, reasons } = await endOf(
      platform.address,
      setting === 'callers' ? taken : FREE,
      setting === 'peers' ? taken : FREE,
    );
    holder.close();
    await platform.close();
    assert.is(code, TASK_FAILED);
    assert.is(reasons.length, 1);
    assert.match(String(reasons[0]), taken);
  });
});

suite.run();
