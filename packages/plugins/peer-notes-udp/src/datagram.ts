/**
 * The encoding of a note: a signature, then JSON. The signature is a truncated HMAC-SHA-256 (RFC 2104)
 * with the sender's key, which only members of the deployment can read.
 */
import * as crypto from 'node:crypto';

import * as core from '@medlarweir/core';
import * as zod from 'zod';

type PeerUpdate = core.messages.PeerUpdate;
type PartChange = core.sharedContext.inventory.PartChange;

/** Half of the digest, as RFC 2104 advises at least. */
const SIGNATURE_BYTES = 16;

const amountSchema = zod.number().nonnegative();

/** Short arrays, since each note crosses the links between data centres many times a second. */
const bodySchema = zod.union([
  zod.tuple([
    zod.literal('work'),
    zod.string(),
    zod.string(),
    amountSchema,
    zod.boolean(),
    zod.array(zod.tuple([zod.string(), amountSchema, amountSchema, amountSchema])),
    zod.array(zod.tuple([zod.string(), zod.string(), zod.array(zod.string())])),
  ]),
  zod.tuple([
    zod.literal('store'),
    zod.string(),
    zod.string(),
    zod.number(),
    zod.number().nullable(),
    zod.array(zod.tuple([zod.string(), zod.string(), zod.number()])),
  ]),
]);

/** Tokens of a part that the store does not hold any more. */
const GONE_TOKENS = -1;

function toTuple(note: PeerUpdate): zod.infer<typeof bodySchema> {
  switch (note.kind) {
    case 'work': {
      const { from, incarnation, sentAtMs, isSnapshot, work, sentParts } = note.update;
      return [
        'work',
        from,
        incarnation,
        Math.round(sentAtMs),
        isSnapshot,
        work.map(({ upstream, work: { unreadTokens, promptTokens, requests } }) => [
          upstream,
          Math.round(unreadTokens),
          promptTokens,
          requests,
        ]),
        sentParts.map(({ upstream, salt, parts }) => [upstream, salt, [...parts]]),
      ];
    }
    case 'store': {
      const { from, store, update } = note;
      const changes = update.changes.map((change): [string, string, number] => [
        change.salt,
        change.id,
        change.kind === 'complete' ? change.tokens : GONE_TOKENS,
      ]);
      return ['store', from, store, update.epoch, update.clockMs ?? null, changes];
    }
    default:
      return core.results.assertNever(note);
  }
}

function fromTuple(plain: zod.infer<typeof bodySchema>): PeerUpdate {
  switch (plain[0]) {
    case 'work': {
      const [kind, from, life, sentAtMs, isWhole, rows, sent] = plain;
      const work = rows.map(([upstream, unreadTokens, promptTokens, requests]) => ({
        upstream,
        work: { unreadTokens, promptTokens, requests },
      }));
      const parts = sent.map(([upstream, salt, ids]) => ({ upstream, salt, parts: ids }));
      return {
        kind,
        update: { from, incarnation: life, sentAtMs, isSnapshot: isWhole, work, sentParts: parts },
      };
    }
    case 'store': {
      const [kind, from, store, epoch, clockMs, rows] = plain;
      const changes = rows.map(([salt, id, tokens]): PartChange =>
        tokens === GONE_TOKENS
          ? { kind: 'gone', salt, id }
          : { kind: 'complete', salt, id, tokens },
      );
      const news = { kind: 'changes' as const, epoch, clockMs: clockMs ?? undefined, changes };
      return { kind, from, store, update: news };
    }
    default:
      return core.results.assertNever(plain);
  }
}

export function encode(note: PeerUpdate, key: string): Buffer {
  const body = Buffer.from(JSON.stringify(toTuple(note)));
  return Buffer.concat([sign(body, key), body]);
}

/** The note, if it was signed with the key of the member that it names as its sender. */
export function decode(
  datagram: Buffer,
  keyOf: (from: string) => string | undefined,
): PeerUpdate | undefined {
  const signature = datagram.subarray(0, SIGNATURE_BYTES);
  const body = datagram.subarray(SIGNATURE_BYTES);
  const found = bodySchema.safeParse(parseJson(body));
  if (!found.success) return undefined;
  const key = keyOf(found.data[1]);
  if (key === undefined || !crypto.timingSafeEqual(signature, sign(body, key))) return undefined;
  return fromTuple(found.data);
}

function parseJson(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString());
  } catch {
    return undefined;
  }
}

function sign(body: Buffer, key: string): Buffer {
  return crypto.createHmac('sha256', key).update(body).digest().subarray(0, SIGNATURE_BYTES);
}
