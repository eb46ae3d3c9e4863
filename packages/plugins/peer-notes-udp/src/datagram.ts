/**
 * Encodes and decodes peer updates: a signature followed by JSON. The signature is a truncated
 * HMAC-SHA-256 (RFC 2104) with the sender's key, which only members of the deployment can read.
 */
import * as crypto from 'node:crypto';

import * as core from '@medlarweir/core';
import * as zod from 'zod';

type PeerUpdate = core.messages.PeerUpdate;
type PartChange = core.sharedContext.inventory.PartChange;

/** Half of the digest, the minimum that RFC 2104 recommends. */
const SIGNATURE_BYTES = 16;

const amountSchema = zod.number().nonnegative();

/** Compact arrays, because updates cross the links between data centres many times a second. */
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

/** Token count that marks a part which the store no longer holds. */
const GONE_TOKENS = -1;

function toTuple(peerUpdate: PeerUpdate): zod.infer<typeof bodySchema> {
  switch (peerUpdate.kind) {
    case 'work': {
      const { from, incarnation, sentAtMs, isSnapshot, work, sentParts } = peerUpdate.update;
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
      const { from, store, update } = peerUpdate;
      const changes = update.changes.map((change): [string, string, number] => [
        change.salt,
        change.id,
        change.kind === 'complete' ? change.tokens : GONE_TOKENS,
      ]);
      return ['store', from, store, update.epoch, update.clockMs ?? null, changes];
    }
    default:
      return core.results.assertNever(peerUpdate);
  }
}

function fromTuple(tuple: zod.infer<typeof bodySchema>): PeerUpdate {
  switch (tuple[0]) {
    case 'work': {
      const [kind, from, senderIncarnation, sentAtMs, isComplete, workRows, sentRows] = tuple;
      const work = workRows.map(([upstream, unreadTokens, promptTokens, requests]) => ({
        upstream,
        work: { unreadTokens, promptTokens, requests },
      }));
      const sentParts = sentRows.map(([upstream, salt, ids]) => ({ upstream, salt, parts: ids }));
      return {
        kind,
        update: {
          from,
          incarnation: senderIncarnation,
          sentAtMs,
          isSnapshot: isComplete,
          work,
          sentParts,
        },
      };
    }
    case 'store': {
      const [kind, from, store, epoch, clockMs, changeRows] = tuple;
      const changes = changeRows.map(([salt, id, tokens]): PartChange =>
        tokens === GONE_TOKENS
          ? { kind: 'gone', salt, id }
          : { kind: 'complete', salt, id, tokens },
      );
      const storeUpdate = {
        kind: 'changes' as const,
        epoch,
        clockMs: clockMs ?? undefined,
        changes,
      };
      return { kind, from, store, update: storeUpdate };
    }
    default:
      return core.results.assertNever(tuple);
  }
}

export function encode(peerUpdate: PeerUpdate, key: string): Buffer {
  const body = Buffer.from(JSON.stringify(toTuple(peerUpdate)));
  return Buffer.concat([sign(body, key), body]);
}

/** Returns the update if it is signed with the key of the member that it names as its sender. */
export function decode(
  datagram: Buffer,
  keyOf: (from: string) => string | undefined,
): PeerUpdate | undefined {
  const signature = datagram.subarray(0, SIGNATURE_BYTES);
  const body = datagram.subarray(SIGNATURE_BYTES);
  const parsed = bodySchema.safeParse(parseJson(body));
  if (!parsed.success) return undefined;
  const key = keyOf(parsed.data[1]);
  if (key === undefined || !crypto.timingSafeEqual(signature, sign(body, key))) return undefined;
  return fromTuple(parsed.data);
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
