/** Contract tests of a managed context store: events, lists, frees, restarts and held calls. */
import type * as uvu from 'uvu';
import * as assert from 'uvu/assert';

import * as wire from './wire.js';

/** A store that holds at most two event calls at once. */
export type Subject = {
  address: string;
  save(salt: string, id: string, tokens: number): Promise<void>;
  restart(): Promise<void>;
  end(): Promise<void>;
};

type EventPage = { bootEpoch: number; nextToken: number; lost: boolean; events: unknown[][] };
type Listing = { bootEpoch: number; nextToken: number; held: unknown[][] };

async function readEvents({ address }: Subject, since: number): Promise<EventPage> {
  return (await wire.call(address, 'GET', `/-/kv-events?since=${since}`)).body as EventPage;
}

async function list({ address }: Subject): Promise<Listing> {
  return (await wire.call(address, 'GET', '/-/kv-list')).body as Listing;
}

export function describeContextStore(suite: uvu.Test, start: () => Promise<Subject>): void {
  suite(
    'a saved part is reported and listed, and a freed part is reported as removed and not listed',
    async () => {
      const subject = await start();
      await subject.save('salt', 'a1', 400);
      const first = await readEvents(subject, 0);
      assert.equal(first.events[0]?.slice(1, 5), ['+', 'salt', 'a1', 400]);
      assert.equal((await list(subject)).held[0]?.slice(0, 3), ['salt', 'a1', 400]);
      const parts = [['salt', 'a1']];
      const { bootEpoch } = first;
      assert.is(
        (await wire.call(subject.address, 'POST', '/-/kv-free', { bootEpoch, parts })).status,
        200,
      );
      const then = await readEvents(subject, first.nextToken);
      assert.equal(then.events[0]?.slice(1, 4), ['-', 'salt', 'a1']);
      assert.equal((await list(subject)).held, []);
      await subject.end();
    },
  );

  suite('a restart removes all parts, and frees with the previous epoch are rejected', async () => {
    const subject = await start();
    await subject.save('salt', 'a1', 400);
    const { bootEpoch } = await list(subject);
    await subject.restart();
    await subject.save('salt', 'a1', 400);
    const after = await list(subject);
    assert.is.not(after.bootEpoch, bootEpoch);
    const freed = { bootEpoch, parts: [['salt', 'a1']] };
    assert.is((await wire.call(subject.address, 'POST', '/-/kv-free', freed)).status, 409);
    assert.is((await list(subject)).held.length, 1);
    await subject.end();
  });

  suite('a third event call is rejected while two are held', async () => {
    const subject = await start();
    const call = () =>
      wire.call(subject.address, 'GET', '/-/kv-events?since=0', undefined, { 'wait-ms': '300' });
    const statuses = (await Promise.all([call(), call(), call()])).map(({ status }) => status);
    assert.equal(statuses.sort(), [200, 200, 429]);
    await subject.end();
  });
}
