/** Contract tests of a context store: commit after the bytes, reused slots, and reports. */
import * as crypto from 'node:crypto';

import * as undici from 'undici';
import type * as uvu from 'uvu';
import * as assert from 'uvu/assert';

import * as wire from './wire.js';

export type Options = { memorySlots: number };

export type Subject = {
  address: string;
  /** Makes the store reject every new piece from now on. */
  makeFull(): Promise<void>;
  /** Restarts the store without its content; resolves with its new address. */
  restart(): Promise<string>;
  end(): Promise<void>;
};

type ReservedSlot = { slot: number; slotIncarnation: string };
type Manifest = ReservedSlot & { piece: string; storeIncarnation: string; lengthBytes: number };

const CONTENT = Buffer.from('the bytes of a piece');

export function describeStore(
  suite: uvu.Test,
  start: (options: Options) => Promise<Subject>,
): void {
  const test = (name: string, act: (subject: Subject) => Promise<void>) =>
    suite(name, async () => {
      const subject = await start({ memorySlots: 2 });
      try {
        await act(subject);
      } finally {
        await subject.end();
      }
    });

  test('a committed piece is read together with its identifying headers', async ({ address }) => {
    const manifest = await put(address, 'piece-1');
    const found = await read(address, manifest.slot);
    assert.is(found.status, 200);
    assert.equal(found.content, CONTENT);
    assert.is(found.piece, 'piece-1');
    assert.is(found.slotIncarnation, manifest.slotIncarnation);
    assert.is(found.storeIncarnation, manifest.storeIncarnation);
  });

  test('a piece with missing bytes is neither committed nor reported', async ({ address }) => {
    const reserved = await reserve(address, 'piece-1');
    await fill(address, reserved, CONTENT.subarray(0, 4));
    assert.is((await commit(address, reserved)).status, 409);
    assert.equal((await snapshot(address)).manifests, []);
  });

  test('a reused slot rejects the bytes and the commit of its previous reservation', async (subject) => {
    const { address } = subject;
    const old = await reserve(address, 'piece-1');
    await put(address, 'piece-2');
    const reused = await reserve(address, 'piece-3');
    assert.is(reused.slot, old.slot);
    assert.is.not(reused.slotIncarnation, old.slotIncarnation);
    assert.is((await fill(address, old, CONTENT)).status, 409);
    assert.is((await commit(address, old)).status, 409);
  });

  test('a full tier evicts its oldest piece and reports the eviction', async ({ address }) => {
    const reports = await wire.openStream(address, 'GET', '/events');
    await put(address, 'piece-1');
    await put(address, 'piece-2');
    await put(address, 'piece-3');
    const isLast = ({ manifest }: wire.Line) => (manifest as Manifest)?.piece === 'piece-3';
    const lines = await reports.readUntil(isLast);
    assert.equal(
      lines.map(({ kind, sequence }) => [kind, sequence]),
      [
        ['snapshot', 0],
        ['committed', 1],
        ['committed', 2],
        ['dropped', 3],
        ['committed', 4],
      ],
    );
  });

  test('a restarted store has a new incarnation and is empty', async (subject) => {
    const manifest = await put(subject.address, 'piece-1');
    const address = await subject.restart();
    const fresh = await snapshot(address);
    assert.equal(fresh.manifests, []);
    assert.is.not(fresh.storeIncarnation, manifest.storeIncarnation);
    assert.is((await read(address, manifest.slot)).status, 404);
  });

  test('a full store rejects new pieces and still serves the old ones', async (subject) => {
    const manifest = await put(subject.address, 'piece-1');
    await subject.makeFull();
    const requested = { piece: 'piece-2', lengthBytes: 1, tier: 'memory' };
    assert.is((await wire.call(subject.address, 'POST', '/slots', requested)).status, 507);
    assert.is((await read(subject.address, manifest.slot)).status, 200);
  });
}

async function reserve(address: string, piece: string): Promise<ReservedSlot> {
  const requested = { piece, lengthBytes: CONTENT.length, tier: 'memory' };
  return (await wire.call(address, 'POST', '/slots', requested)).body as ReservedSlot;
}

function fill(address: string, { slot, slotIncarnation }: ReservedSlot, content: Uint8Array) {
  return wire.call(address, 'PUT', `/slots/${slot}?incarnation=${slotIncarnation}`, content);
}

function commit(address: string, reserved: ReservedSlot): Promise<wire.Reply> {
  const checksum = crypto.createHash('sha256').update(CONTENT).digest('hex');
  return wire.call(address, 'POST', '/manifests', { ...reserved, checksum });
}

async function put(address: string, piece: string): Promise<Manifest> {
  const reserved = await reserve(address, piece);
  await fill(address, reserved, CONTENT);
  return (await commit(address, reserved)).body as Manifest;
}

async function read(address: string, slot: number) {
  const response = await undici.request(`http://${address}/slots/${slot}`);
  const content = Buffer.from(await response.body.arrayBuffer());
  const { headers, statusCode: status } = response;
  return {
    status,
    content,
    piece: headers['x-piece'],
    slotIncarnation: headers['x-slot-incarnation'],
    storeIncarnation: headers['x-store-incarnation'],
  };
}

async function snapshot(address: string) {
  const reports = await wire.openStream(address, 'GET', '/events');
  const [first] = await reports.readUntil(() => true);
  return first as unknown as { manifests: readonly Manifest[]; storeIncarnation: string };
}
