import * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
import * as medlarctl from 'medlarctl';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('changes of the configuration');

const { HEAD_KEY } = core.configuration.heads;

type Platform = Parameters<typeof medlarctl.change.apply>[0];
type WriteRequest = Parameters<Platform['write']>[0];

/**
 * A platform that calls `afterHeadWrite` after each write of the head; if it returns true, the
 * answer is lost.
 */
function aPlatform(afterHeadWrite: (objects: fixtures.ObjectStore, count: number) => boolean) {
  const objects = fixtures.anObjectStore();
  const counter = { headWrites: 0 };
  const write = (request: WriteRequest) => {
    const { key, expectedVersion, value, writeId } = request;
    const answer = objects.write(key, expectedVersion, value, writeId);
    if (key !== HEAD_KEY) return Promise.resolve(answer);
    counter.headWrites += 1;
    const isLost = afterHeadWrite(objects, counter.headWrites);
    return Promise.resolve(isLost ? fixtures.anUnavailableAnswer() : answer);
  };
  const read = (key: string) => Promise.resolve(objects.read(key));
  return { objects, platform: { read, write } as unknown as Platform };
}

/** Writes another operator's change on top of the current head. */
function changeOnTop(objects: fixtures.ObjectStore): void {
  const found = objects.read(HEAD_KEY);
  if (found.kind !== 'object') throw new Error('no head');
  const head = core.configuration.heads.headSchema.parse(found.object.value);
  const generation = head.generation + 1;
  const change = { id: 'other', generation, edits: [], by: 'other', atMs: 0, why: '' };
  const value = { ...head, generation, changes: [...head.changes, change] };
  objects.write(HEAD_KEY, found.object.version, value, 'other-write');
}

// Guards against reporting a conflict for an accepted change: the answer to its write is lost,
// and the head already contains a later change when the write is repeated.
suite(
  'a change whose answer was lost is reported as accepted, even if another change follows it',
  async () => {
    const { platform } = aPlatform((objects, count) => {
      if (count === 1) changeOnTop(objects);
      return count === 1;
    });
    const base = { version: 0, configuration: undefined };
    const applied = await medlarctl.change.apply(platform, base, fixtures.aConfiguration());
    assert.equal(applied.isOk() && applied.value, 1);
  },
);

suite('the second of two changes on the same base fails with a conflict', async () => {
  const { platform } = aPlatform(() => false);
  const base = { version: 0, configuration: undefined };
  const first = await medlarctl.change.apply(platform, base, fixtures.aConfiguration());
  const second = await medlarctl.change.apply(platform, base, fixtures.aConfiguration());
  assert.ok(first.isOk());
  assert.is(second.isErr() && second.error.code, 'conflict');
});

suite.run();
