/**
 * Guards against an instance that fails on a write error when the reader of its stdout closes the
 * pipe.
 */
import * as childProcess from 'node:child_process';
import * as readline from 'node:readline';
import * as timers from 'node:timers/promises';

import * as examples from '@medlarweir/examples';
import * as standIns from '@medlarweir/stand-ins';
import * as undici from 'undici';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('log output with a closed stdout');

const AFTER_LOSS_MS = 500;
const LISTENING_EVENT = 104;

type StartedInstance = { child: childProcess.ChildProcessWithoutNullStreams; callers: string };

/** Starts an instance and waits until it listens for callers. */
function anInstance(platform: string): Promise<StartedInstance> {
  const settings = ['--name', 'instance-1', '--data-centre', 'dc-1', '--platform', platform];
  const addresses = ['--callers', '127.0.0.1:0', '--peers', '127.0.0.1:0'];
  const key = ['--deployment-key', 'a-key-of-sixteen-or-more'];
  const script = examples.processes.BINARIES.medlarweir;
  const child = childProcess.spawn(process.execPath, [script, ...settings, ...addresses, ...key]);
  return new Promise((resolve) => {
    readline.createInterface({ input: child.stdout }).on('line', (text) => {
      const line = JSON.parse(text) as { event?: number; callers?: string };
      if (line.event === LISTENING_EVENT && line.callers) resolve({ child, callers: line.callers });
    });
  });
}

suite('an instance whose stdout is closed keeps answering health checks', async () => {
  const platform = await standIns.platform.start();
  const { child, callers } = await anInstance(platform.address);
  try {
    child.stdout.destroy();
    const other = { name: 'other', dataCentre: 'dc-1', peers: '127.0.0.1:9' };
    await examples.clusters.registerInstance(platform.address, other);
    await timers.setTimeout(AFTER_LOSS_MS);
    const health = await undici.request(`http://${callers}/healthz`);
    assert.is(health.statusCode, 200);
  } finally {
    child.kill('SIGKILL');
    await platform.close();
  }
});

suite.run();
