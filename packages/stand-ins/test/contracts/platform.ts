/** What the platform promises: versioned objects, conditional update, watch, and the instance list. */
import type * as uvu from 'uvu';
import * as assert from 'uvu/assert';

import * as wire from './wire.js';

export type Fault = 'none' | 'outage' | 'lost-answers';
export type Instance = { name: string; dataCentre: string; peers: string; state: string };

/** A platform without objects, and what a test has to do to it from outside. */
export type Subject = {
  address: string;
  setFault(fault: Fault): Promise<void>;
  list(instances: readonly Instance[]): Promise<void>;
  /** Calls counted so far; a waiting watch counts as one. */
  countCalls(): Promise<number>;
  end(): Promise<void>;
};

type Written = { version: number };
type Stored = { key: string; version: number; value: unknown; writeId: string };

export function describePlatform(suite: uvu.Test, start: () => Promise<Subject>): void {
  const test = (name: string, act: (subject: Subject) => Promise<void>) =>
    suite(name, async () => {
      const subject = await start();
      try {
        await act(subject);
      } finally {
        await subject.end();
      }
    });

  test('an object that does not exist is 404 and has version 0 for a write', async (subject) => {
    assert.is((await read(subject, 'a')).status, 404);
    assert.equal(await write(subject, 'a', 0, 'one'), { status: 200, body: { version: 1 } });
    const { key, version, value } = (await read(subject, 'a')).body as Stored;
    assert.equal({ key, version, value }, { key: 'a', version: 1, value: 'one' });
  });

  test('a write on another version changes nothing and shows the current object', async (subject) => {
    await write(subject, 'a', 0, 'one', 'write-1');
    const refused = await write(subject, 'a', 0, 'two', 'write-2');
    assert.is(refused.status, 409);
    const { current } = refused.body as { current: Stored };
    assert.is(current.value, 'one');
    assert.is(current.writeId, 'write-1');
  });

  test('of writers at the same time on one version exactly one takes effect', async (subject) => {
    const writes = Array.from({ length: 8 }, (_, at) => write(subject, 'a', 0, at));
    const replies = await Promise.all(writes);
    assert.is(replies.filter(({ status }) => status === 200).length, 1);
    assert.is(((await read(subject, 'a')).body as Stored).version, 1);
  });

  test('a list holds the objects of a prefix and no others', async (subject) => {
    await write(subject, 'claims/1', 0, 1);
    await write(subject, 'claims/2', 0, 2);
    await write(subject, 'other/1', 0, 3);
    const { body } = await wire.call(subject.address, 'GET', '/objects?prefix=claims%2F');
    const { objects } = body as { objects: readonly Stored[] };
    assert.equal(objects.map(({ key }) => key).sort(), ['claims/1', 'claims/2']);
  });

  test('a watch waits for the next change of its prefix and goes on from a revision', async (subject) => {
    await write(subject, 'a/1', 0, 'one');
    const first = await watch(subject, 'a/', 0, 0);
    const waiting = watch(subject, 'a/', first.revision, 5_000);
    await write(subject, 'b/1', 0, 'of another prefix');
    await write(subject, 'a/2', 0, 'two');
    const next = await waiting;
    assert.equal(
      next.objects.map(({ key }) => key),
      ['a/2'],
    );
    assert.ok(next.revision > first.revision);
  });

  test('a watch without news ends empty after its wait', async (subject) => {
    assert.equal((await watch(subject, 'a/', 0, 10)).objects, []);
  });

  test('the list of instances is given, and again when it changes', async (subject) => {
    const instance = { name: 'i-1', dataCentre: 'dc-1', peers: 'h:1', state: 'live' };
    await subject.list([instance]);
    const first = await instances(subject, 0, 0);
    assert.equal(first.instances, [instance]);
    const waiting = instances(subject, first.revision, 5_000);
    await subject.list([{ ...instance, state: 'leaving' }]);
    assert.is((await waiting).instances[0]?.state, 'leaving');
  });

  test('each call is counted, a waiting watch as one', async (subject) => {
    const before = await subject.countCalls();
    await write(subject, 'a', 0, 1);
    await read(subject, 'a');
    await watch(subject, 'a', 99, 20);
    assert.is((await subject.countCalls()) - before, 3);
  });

  test('a value of more than a megabyte is refused', async (subject) => {
    const { status } = await write(subject, 'a', 0, 'x'.repeat(1_000_001));
    assert.is(status, 413);
    assert.is((await read(subject, 'a')).status, 404);
  });

  test('a write whose answer is lost has taken effect and is known by its id', async (subject) => {
    await subject.setFault('lost-answers');
    const lost = await write(subject, 'a', 0, 'one', 'write-1').catch(() => 'lost');
    assert.is(lost, 'lost');
    await subject.setFault('none');
    const again = await write(subject, 'a', 0, 'one', 'write-1');
    assert.is(again.status, 409);
    assert.is((again.body as { current: Stored }).current.writeId, 'write-1');
  });

  test('an outage answers nothing and loses no object', async (subject) => {
    await write(subject, 'a', 0, 'one');
    await subject.setFault('outage');
    assert.is(await read(subject, 'a').catch(() => 'no answer'), 'no answer');
    await subject.setFault('none');
    assert.is((await read(subject, 'a')).status, 200);
  });
}

function read({ address }: Subject, key: string): Promise<wire.Reply> {
  return wire.call(address, 'GET', `/objects/${encodeURIComponent(key)}`);
}

function write(
  { address }: Subject,
  key: string,
  expectedVersion: number,
  value: unknown,
  writeId = 'write',
): Promise<wire.Reply> {
  const body = { expectedVersion, value, writeId };
  return wire.call(address, 'PUT', `/objects/${encodeURIComponent(key)}`, body);
}

async function watch({ address }: Subject, prefix: string, after: number, waitMs: number) {
  const query = `prefix=${encodeURIComponent(prefix)}&after=${after}&waitMs=${waitMs}`;
  const { body } = await wire.call(address, 'GET', `/watch?${query}`);
  return body as { revision: number; objects: readonly Stored[] } & Partial<Written>;
}

async function instances({ address }: Subject, after: number, waitMs: number) {
  const { body } = await wire.call(address, 'GET', `/instances?after=${after}&waitMs=${waitMs}`);
  return body as { revision: number; instances: readonly Instance[] };
}
