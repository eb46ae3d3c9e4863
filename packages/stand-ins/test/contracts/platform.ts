/** Contract tests of the platform: versioned objects, conditional updates, pages, and watches. */
import type * as uvu from 'uvu';
import * as assert from 'uvu/assert';

import * as wire from './wire.js';

export type Fault = 'none' | 'outage' | 'lost-answers' | 'busy';

/** An empty platform, and the functions by which a test controls it. */
export type Subject = {
  address: string;
  setFault(fault: Fault): Promise<void>;
  dropHistory(): Promise<void>;
  /** Number of calls so far; a waiting watch counts as one. */
  countCalls(): Promise<number>;
  end(): Promise<void>;
};

type StoredObject = { metadata: { name: string; revision: number }; spec: unknown };
type Page = { items: readonly StoredObject[]; hasMore: boolean; storeRevision: number };
type WatchResult = {
  events: readonly { object: StoredObject; deleted: boolean }[];
  storeRevision: number;
};

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

  test('a missing object is answered with 404, and a second create conflicts', async (subject) => {
    assert.is((await read(subject, 'a', 'x')).status, 404);
    assert.is((await replace(subject, 'a', 'x', 1, 'one')).status, 404);
    const made = await create(subject, 'a', 'x', 'one');
    assert.is(made.status, 200);
    assert.is((await create(subject, 'a', 'x', 'two')).status, 409);
    const { metadata, spec } = (await read(subject, 'a', 'x')).body as StoredObject;
    assert.equal({ name: metadata.name, spec }, { name: 'x', spec: 'one' });
    assert.is(metadata.revision, revisionOf(made));
  });

  test('a write at another revision changes nothing and returns the current object', async (subject) => {
    const made = await create(subject, 'a', 'x', 'one');
    await replace(subject, 'a', 'x', revisionOf(made), 'two');
    const refused = await replace(subject, 'a', 'x', revisionOf(made), 'three');
    assert.is(refused.status, 409);
    assert.is((refused.body as StoredObject).spec, 'two');
  });

  test('exactly one of several concurrent writes at the same revision takes effect', async (subject) => {
    const revision = revisionOf(await create(subject, 'a', 'x', 'none'));
    const writes = Array.from({ length: 8 }, (_, at) => replace(subject, 'a', 'x', revision, at));
    const replies = await Promise.all(writes);
    assert.is(replies.filter(({ status }) => status === 200).length, 1);
  });

  test('a write of an equal value creates no revision and no event', async (subject) => {
    const made = await create(subject, 'a', 'x', 'one');
    const again = await replace(subject, 'a', 'x', revisionOf(made), 'one');
    assert.is(revisionOf(again), revisionOf(made));
    assert.equal((await watch(subject, 'a', revisionOf(made), 10)).events, []);
  });

  test('a list returns only the objects of its kind, in pages', async (subject) => {
    await create(subject, 'b', 'other', 0);
    const names = Array.from({ length: 501 }, (_, at) => `x${String(at).padStart(4, '0')}`);
    await Promise.all(names.map((name) => create(subject, 'a', name, 0)));
    const first = await list(subject, 'a');
    assert.ok(first.hasMore);
    const last = first.items.at(-1)?.metadata.name ?? '';
    const second = await list(subject, 'a', last);
    assert.not.ok(second.hasMore);
    const found = [...first.items, ...second.items].map(({ metadata }) => metadata.name);
    assert.equal(found, names);
  });

  test('a watch waits for the next change of its kind and continues from a revision', async (subject) => {
    await create(subject, 'a', 'x', 'one');
    const { storeRevision } = await list(subject, 'a');
    const waiting = watch(subject, 'a', storeRevision, 5_000);
    await create(subject, 'b', 'x', 'of another kind');
    await create(subject, 'a', 'y', 'two');
    const next = await waiting;
    assert.equal(
      next.events.map(({ object, deleted }) => [object.metadata.name, deleted]),
      [['y', false]],
    );
    assert.ok(next.storeRevision > storeRevision);
  });

  test('a watch reports removed objects', async (subject) => {
    const made = await create(subject, 'a', 'x', 'one');
    await wire.call(subject.address, 'DELETE', '/-/objects/a/x');
    const { events } = await watch(subject, 'a', revisionOf(made), 10);
    assert.equal(
      events.map(({ deleted }) => deleted),
      [true],
    );
  });

  test('a watch without changes returns no events after its wait time', async (subject) => {
    const { storeRevision } = await list(subject, 'a');
    assert.equal((await watch(subject, 'a', storeRevision, 10)).events, []);
  });

  test('a watch from a revision whose history has been dropped is answered with 410', async (subject) => {
    const made = await create(subject, 'a', 'x', 'one');
    await create(subject, 'a', 'y', 'two');
    await subject.dropHistory();
    const path = `/-/objects/a?watch=${revisionOf(made)}&waitMs=10`;
    assert.is((await wire.call(subject.address, 'GET', path)).status, 410);
  });

  test('each call is counted, and a waiting watch counts as one', async (subject) => {
    const before = await subject.countCalls();
    await create(subject, 'a', 'x', 1);
    await read(subject, 'a', 'x');
    await watch(subject, 'a', 99, 20);
    assert.is((await subject.countCalls()) - before, 3);
  });

  test('an object larger than 1 MiB is rejected', async (subject) => {
    const { status } = await create(subject, 'a', 'x', 'x'.repeat(1_048_577));
    assert.is(status, 413);
    assert.is((await read(subject, 'a', 'x')).status, 404);
  });

  test('a write whose response is lost has taken effect', async (subject) => {
    await subject.setFault('lost-answers');
    const lost = await create(subject, 'a', 'x', 'one').catch(() => 'lost');
    assert.is(lost, 'lost');
    await subject.setFault('none');
    const again = await create(subject, 'a', 'x', 'two');
    assert.is(again.status, 409);
    assert.is((again.body as StoredObject).spec, 'one');
  });

  test('a write rejected with 503 has not taken effect', async (subject) => {
    await subject.setFault('busy');
    assert.is((await create(subject, 'a', 'x', 'one')).status, 503);
    await subject.setFault('none');
    assert.is((await read(subject, 'a', 'x')).status, 404);
  });

  test('an outage leaves requests unanswered and loses no object', async (subject) => {
    await create(subject, 'a', 'x', 'one');
    await subject.setFault('outage');
    assert.is(await read(subject, 'a', 'x').catch(() => 'no answer'), 'no answer');
    await subject.setFault('none');
    assert.is((await read(subject, 'a', 'x')).status, 200);
  });
}

function revisionOf({ body }: wire.Reply): number {
  return (body as StoredObject).metadata.revision;
}

function read({ address }: Subject, kind: string, name: string): Promise<wire.Reply> {
  return wire.call(address, 'GET', `/-/objects/${kind}/${name}`);
}

function create({ address }: Subject, kind: string, name: string, spec: unknown) {
  return wire.call(address, 'POST', `/-/objects/${kind}`, { metadata: { name }, spec });
}

function replace(
  { address }: Subject,
  kind: string,
  name: string,
  revision: number,
  spec: unknown,
): Promise<wire.Reply> {
  const body = { metadata: { name, revision }, spec };
  return wire.call(address, 'PUT', `/-/objects/${kind}/${name}`, body);
}

async function list({ address }: Subject, kind: string, after = ''): Promise<Page> {
  const { body } = await wire.call(address, 'GET', `/-/objects/${kind}?after=${after}`);
  return body as Page;
}

async function watch({ address }: Subject, kind: string, since: number, waitMs: number) {
  const path = `/-/objects/${kind}?watch=${since}&waitMs=${waitMs}`;
  const { body } = await wire.call(address, 'GET', path);
  return body as WatchResult;
}
