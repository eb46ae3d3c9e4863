/** Contract tests of a plain service: counted effects, reads, and faults before and after an effect. */
import type * as uvu from 'uvu';
import * as assert from 'uvu/assert';

import * as wire from './wire.js';

export type Fault = 'none' | 'cut-before-run' | 'cut-after-run' | 'refuse';

export type Subject = {
  address: string;
  /** Sets the point at which the next requests fail. */
  setFault(fault: Fault): Promise<void>;
  /** Number of times that a request with this reference has taken effect. */
  countRuns(reference: string): Promise<number>;
  end(): Promise<void>;
};

const CASES: readonly { fault: Fault; answer: number | 'cut'; runs: number }[] = [
  { fault: 'none', answer: 201, runs: 1 },
  { fault: 'cut-before-run', answer: 'cut', runs: 0 },
  { fault: 'cut-after-run', answer: 'cut', runs: 1 },
  { fault: 'refuse', answer: 503, runs: 0 },
];

export function describePlain(suite: uvu.Test, start: () => Promise<Subject>): void {
  ['bookings', 'charges'].forEach((path) => {
    CASES.forEach(({ fault, answer, runs }) => {
      suite(`${path} with fault "${fault}": answer ${answer}, ${runs} run(s)`, async () => {
        const subject = await start();
        await subject.setFault(fault);
        const found = await send(subject, path, 'reference-1');
        assert.is(found, answer);
        assert.is(await subject.countRuns('reference-1'), runs);
        await subject.end();
      });
    });
  });

  suite(
    'the same request sent twice runs twice, as the service does not handle idempotency keys',
    async () => {
      const subject = await start();
      await send(subject, 'bookings', 'reference-1');
      await send(subject, 'bookings', 'reference-1');
      assert.is(await subject.countRuns('reference-1'), 2);
      assert.is(await subject.countRuns('reference-2'), 0);
      await subject.end();
    },
  );

  suite('reads have no effect and return what ran', async () => {
    const subject = await start();
    await send(subject, 'charges', 'reference-1');
    const { status, body } = await wire.call(subject.address, 'GET', '/log');
    assert.is(status, 200);
    assert.match(JSON.stringify(body), 'reference-1');
    assert.is(await subject.countRuns('reference-1'), 1);
    await subject.end();
  });
}

async function send(
  { address }: Subject,
  path: string,
  reference: string,
): Promise<number | 'cut'> {
  const reply = await wire.call(address, 'POST', `/${path}`, { reference }).catch(() => undefined);
  return reply?.status ?? 'cut';
}
