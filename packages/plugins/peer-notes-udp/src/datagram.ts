/**
 * The encoding of a note: a signature, then JSON. The signature is a truncated HMAC-SHA-256 (RFC 2104)
 * with the sender's key, which only members of the deployment can read.
 */
import * as crypto from 'node:crypto';

import type * as core from '@medlarweir/core';
import * as zod from 'zod';

type Note = core.fleet.peerWork.Note;

/** Half of the digest, as RFC 2104 advises at least. */
const SIGNATURE_BYTES = 16;

const amount = zod.number().nonnegative();

/** Short arrays, since each note crosses the links between data centres many times a second. */
const shape = zod.tuple([
  zod.string(),
  zod.string(),
  amount,
  zod.boolean(),
  zod.array(zod.tuple([zod.string(), amount, amount, amount])),
  zod.array(zod.tuple([zod.string(), zod.string(), zod.array(zod.string())])),
]);

export function encode(note: Note, key: string): Buffer {
  const plain: zod.infer<typeof shape> = [
    note.from,
    note.life,
    Math.round(note.sentAtMs),
    note.isWhole,
    note.work.map(({ upstream, work }) => [
      upstream,
      Math.round(work.unreadTokens),
      work.promptTokens,
      work.requests,
    ]),
    note.sent.map(({ upstream, salt, parts }) => [upstream, salt, [...parts]]),
  ];
  const body = Buffer.from(JSON.stringify(plain));
  return Buffer.concat([sign(body, key), body]);
}

/** The note, if it was signed with the key of the member that it names as its sender. */
export function decode(
  datagram: Buffer,
  keyOf: (from: string) => string | undefined,
): Note | undefined {
  const signature = datagram.subarray(0, SIGNATURE_BYTES);
  const body = datagram.subarray(SIGNATURE_BYTES);
  const found = shape.safeParse(parse(body));
  if (!found.success) return undefined;
  const [from, life, sentAtMs, isWhole, work, sent] = found.data;
  const key = keyOf(from);
  if (key === undefined || !crypto.timingSafeEqual(signature, sign(body, key))) return undefined;
  return {
    from,
    life,
    sentAtMs,
    isWhole,
    work: work.map(([upstream, unreadTokens, promptTokens, requests]) => ({
      upstream,
      work: { unreadTokens, promptTokens, requests },
    })),
    sent: sent.map(([upstream, salt, parts]) => ({ upstream, salt, parts })),
  };
}

function parse(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString());
  } catch {
    return undefined;
  }
}

function sign(body: Buffer, key: string): Buffer {
  return crypto.createHmac('sha256', key).update(body).digest().subarray(0, SIGNATURE_BYTES);
}
