/**
 * A stand-in for a context store: slots in a memory and a disk tier (both held in memory, the disk tier
 * with slower reads), manifests that are committed after the bytes, and a stream of reports.
 */
import * as crypto from 'node:crypto';

import * as serve from '../http/serve.js';

export type Tier = 'memory' | 'disk';

export type Options = {
  name: string;
  memorySlots: number;
  diskSlots: number;
  diskReadMs: number;
};

export const DEFAULTS: Options = {
  name: 'store',
  memorySlots: 1_000,
  diskSlots: 10_000,
  diskReadMs: 5,
};

type Slot = {
  piece: string;
  tier: Tier;
  incarnation: string;
  content: Buffer;
  lengthBytes: number;
  isCommitted: boolean;
};

export type Manifest = {
  piece: string;
  store: string;
  slot: number;
  slotIncarnation: string;
  storeIncarnation: string;
  lengthBytes: number;
  checksum: string;
  tier: Tier;
};

export type Stats = { exportedPieces: number; readPieces: number; readBytes: number };
export type Store = serve.Server & { stats(): Stats };

export async function start(given: Partial<Options> = {}, port = 0): Promise<Store> {
  const options = { ...DEFAULTS, ...given };
  const storeIncarnation = crypto.randomUUID();
  const slots = new Map<number, Slot>();
  const manifests = new Map<string, Manifest>();
  const subscribers = new Set<serve.LineStream>();
  const stats: Stats = { exportedPieces: 0, readPieces: 0, readBytes: 0 };
  const state = { nextSlot: 0, sequence: 0, isFull: false };

  function publish(report: Record<string, unknown>): void {
    state.sequence += 1;
    const numbered = { ...report, sequence: state.sequence };
    subscribers.forEach((subscriber) => subscriber.write(numbered));
  }

  function countIn(tier: Tier): number {
    return [...slots.values()].filter((slot) => slot.tier === tier).length;
  }

  /** Returns a slot number in a tier; if the tier is full, evicts its oldest slot and reuses the number. */
  function placeFor(tier: Tier): number {
    const capacity = tier === 'memory' ? options.memorySlots : options.diskSlots;
    if (countIn(tier) < capacity) {
      state.nextSlot += 1;
      return state.nextSlot;
    }
    const [oldest] = [...slots].find(([, slot]) => slot.tier === tier) ?? [0];
    drop(oldest);
    return oldest;
  }

  function drop(number: number): void {
    const slot = slots.get(number);
    slots.delete(number);
    if (!slot || manifests.get(slot.piece)?.slot !== number) return;
    manifests.delete(slot.piece);
    publish({ kind: 'dropped', piece: slot.piece });
  }

  function free(number: number, request: serve.Request): serve.Reply {
    const wanted = request.query.get('incarnation');
    if (wanted !== null && slots.get(number)?.incarnation !== wanted) {
      return serve.json(409, { error: 'slot was given out anew' });
    }
    drop(number);
    return serve.json(200, {});
  }

  function reserve(body: Buffer): serve.Reply {
    if (state.isFull) return serve.json(507, { error: 'full' });
    const requested = JSON.parse(body.toString('utf8')) as {
      piece: string;
      lengthBytes: number;
      tier: Tier;
    };
    const number = placeFor(requested.tier);
    const incarnation = crypto.randomUUID();
    slots.set(number, { ...requested, incarnation, content: Buffer.alloc(0), isCommitted: false });
    return serve.json(200, { slot: number, slotIncarnation: incarnation });
  }

  function fill(number: number, request: serve.Request): serve.Reply {
    const slot = slots.get(number);
    if (slot?.incarnation !== request.query.get('incarnation')) {
      return serve.json(409, { error: 'slot was given out anew' });
    }
    if (slot) slot.content = request.body;
    return serve.json(200, {});
  }

  function commit(body: Buffer): serve.Reply {
    const requested = JSON.parse(body.toString('utf8')) as {
      slot: number;
      slotIncarnation: string;
      checksum: string;
    };
    const slot = slots.get(requested.slot);
    const isWhole = slot?.content.length === slot?.lengthBytes;
    if (!slot || slot.incarnation !== requested.slotIncarnation || !isWhole) {
      return serve.json(409, { error: 'not the bytes that were announced' });
    }
    slot.isCommitted = true;
    stats.exportedPieces += 1;
    const manifest: Manifest = {
      piece: slot.piece,
      store: options.name,
      slot: requested.slot,
      slotIncarnation: slot.incarnation,
      storeIncarnation,
      lengthBytes: slot.lengthBytes,
      checksum: requested.checksum,
      tier: slot.tier,
    };
    manifests.set(slot.piece, manifest);
    publish({ kind: 'committed', manifest });
    return serve.json(200, manifest);
  }

  async function read(number: number): Promise<serve.Reply> {
    const slot = slots.get(number);
    if (!slot) return serve.json(404, { error: 'no such slot' });
    if (slot.tier === 'disk') await serve.sleep(options.diskReadMs);
    stats.readPieces += 1;
    stats.readBytes += slot.content.length;
    const headers = {
      'x-piece': slot.piece,
      'x-slot-incarnation': slot.incarnation,
      'x-store-incarnation': storeIncarnation,
    };
    return { kind: 'bytes', status: 200, headers, body: slot.content };
  }

  function follow(lines: serve.LineStream): void {
    lines.write({
      kind: 'snapshot',
      sequence: state.sequence,
      storeIncarnation,
      manifests: [...manifests.values()],
    });
    subscribers.add(lines);
    lines.onClose(() => subscribers.delete(lines));
  }

  function control(request: serve.Request): serve.Reply {
    if (request.path[1] === 'stats') return serve.json(200, stats);
    const requested = JSON.parse(request.body.toString('utf8')) as { isFull?: boolean };
    if (requested.isFull !== undefined) state.isFull = requested.isFull;
    return serve.json(200, {});
  }

  function handle(request: serve.Request): Promise<serve.Reply> | serve.Reply {
    const { method, path, body } = request;
    const number = Number(path[1]);
    switch (`${method} ${path[0]}`) {
      case 'POST slots':
        return reserve(body);
      case 'PUT slots':
        return fill(number, request);
      case 'GET slots':
        return read(number);
      case 'DELETE slots':
        return free(number, request);
      case 'POST manifests':
        return commit(body);
      case 'GET events':
        return { kind: 'lines', onOpen: follow };
      case 'GET control':
      case 'POST control':
        return control(request);
      default:
        return serve.json(404, { error: 'no such path' });
    }
  }

  const server = await serve.listen(handle, port);
  return { ...server, stats: () => stats };
}
