/**
 * Guards against an entry instance that runs out of memory or descriptors, or stops answering, because of
 * what a crowd of clients holds open at its addresses. Runs alone: see `scripts/test.ts`.
 */
import * as fixtures from '@medlarweir/core/fixtures';
import * as standIns from '@medlarweir/stand-ins';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

import * as runningInstance from './fixtures/running-instance.js';

type Context = { plain: Awaited<ReturnType<typeof standIns.plain.start>> };

const suite = uvu.suite<Context>('untrusted callers of an entry instance');

/** An entry instance has more code than a gateway of the users' platform. */
const HEAP_MB = 64;
/** What the process may have beside its heap. */
const BESIDE_HEAP_MB = 104;
const MACHINE_MB = HEAP_MB + BESIDE_HEAP_MB;
const MAX_RESIDENT_BYTES = MACHINE_MB * 1_024 * 1_024;
/** Beside the crowd's connections. */
const MAX_OTHER_DESCRIPTORS = 100;
/** The longest until an ordinary request is answered while the crowd stays. */
const ANSWER_TIMEOUT_MS = 30_000;
const MAX_BODY_BYTES = 4_194_304;

const ORDINARY: standIns.crowd.Ordinary = {
  startLine: 'GET /services/dispatch/log HTTP/1.1',
  headerLines: ['host: a', `authorization: Bearer ${runningInstance.CREDENTIALS.alpha}`],
};

suite.before(async (context) => {
  context.plain = await standIns.plain.start();
});
suite.after(({ plain }) => plain.close());

function start({ plain }: Context): Promise<runningInstance.Instance> {
  const upstream = fixtures.anUpstream({
    name: 'plain-1',
    address: plain.address,
    services: ['dispatch'],
  });
  const configuration = fixtures.aConfiguration({
    clientAccounts: [...runningInstance.twoAccounts()],
    services: [fixtures.aPlainService()],
    upstreams: [{ ...upstream, kind: 'plain' }],
    stores: [],
    limits: { ...fixtures.aConfiguration().limits, maxBodyBytes: MAX_BODY_BYTES },
  });
  const flags = [`--max-old-space-size=${HEAP_MB}`, '--max-semi-space-size=4'];
  return runningInstance.anInstance(configuration, flags, { 'memory-mb': String(MACHINE_MB) });
}

async function expectHealth(
  instance: runningInstance.Instance,
  connections: number,
): Promise<void> {
  const ordinary = standIns.crowd.textOf(ORDINARY);
  const answered = await Promise.race([
    standIns.crowd.awaitAnswer(instance.callers, ordinary, ANSWER_TIMEOUT_MS),
    instance.process.exited.then((code) => `ended with ${code}`),
  ]);
  assert.is(answered, 'answered');
  const { peakResidentBytes, openDescriptors } = await standIns.processFigures.read(
    instance.process.pid,
  );
  const peak = `${Math.round(peakResidentBytes / 1_024 / 1_024)} MB at the peak`;
  assert.ok(peakResidentBytes < MAX_RESIDENT_BYTES, peak);
  assert.ok(openDescriptors < connections + MAX_OTHER_DESCRIPTORS, `${openDescriptors} open`);
}

const CASES: readonly [
  listener: 'callers' | 'peers',
  kind: standIns.crowd.Kind,
  connections: number,
][] = [
  ['callers', 'short-lines', 400],
  ['callers', 'tiny-chunks', 40],
  ['callers', 'large-chunks', 40],
  ['callers', 'bare-pipeline', 60],
  ['callers', 'invalid-pipeline', 60],
  ['callers', 'valid-pipeline', 60],
  ['callers', 'half-heads', 400],
  ['peers', 'short-lines', 400],
  ['peers', 'tiny-chunks', 40],
  ['peers', 'large-chunks', 40],
  ['peers', 'bare-pipeline', 60],
];

/** Crowds that ended the process while the address of peers had no budget. */
const LARGE_CASES: typeof CASES = [
  ['peers', 'bare-pipeline', 400],
  ['peers', 'half-heads', 3_000],
];

[...CASES, ...LARGE_CASES].forEach(([listener, kind, connections], at) => {
  const size = at < CASES.length ? '' : `${connections} `;
  const name = `an instance serves beside ${size}clients of kind ${kind} at ${listener}`;
  suite(name, async (context) => {
    const instance = await start(context);
    const bytes = standIns.crowd.bytesOf(kind, ORDINARY);
    const crowd = await standIns.crowd.gather(instance[listener], connections, bytes);
    try {
      await expectHealth(instance, connections);
    } finally {
      crowd.end();
      await instance.end();
    }
  });
});

suite.run();
