/** Guards against an instance that goes on, or ends as if by a defect, when its address is taken. */
import * as childProcess from 'node:child_process';
import * as net from 'node:net';
import * as readline from 'node:readline';

import * as examples from '@medlarweir/examples';
import * as standIns from '@medlarweir/stand-ins';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('addresses of an instance that are taken');

const FAILED_EVENT = 108;
const TASK_FAILED = 4;
const FREE = '127.0.0.1:0';

type Ended = { code: number | null; reasons: readonly string[] };

/** Runs an instance to its end. */
async function endOf(platform: string, callers: string, peers: string): Promise<Ended> {
  const settings = ['--name', 'instance-1', '--data-centre', 'dc-1', '--platform', platform];
  const own = [
    '--callers',
    callers,
    '--peers',
    peers,
    '--deployment-key',
    'a-key-of-sixteen-or-more',
  ];
  const script = examples.processes.BINARIES.medlarweir;
  const child = childProcess.spawn(process.execPath, [script, ...settings, ...own]);
  const reasons: string[] = [];
  readline.createInterface({ input: child.stdout }).on('line', (text) => {
    const { event, reason } = JSON.parse(text) as { event?: number; reason?: string };
    if (event === FAILED_EVENT) reasons.push(reason ?? '');
  });
  const code = await new Promise<number | null>((resolve) => {
    child.on('close', resolve);
  });
  return { code, reasons };
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
    assert.match(reasons[0] ?? '', taken);
  });
});

suite.run();
