/**
 * Encodes and decodes peer updates: a signature followed by JSON. The signature is a truncated
 * HMAC-SHA-256 (RFC 2104) with the sender's key, which only members of the deployment can read.
 */
import * as crypto from 'node:crypto';

import * as core from '@medlarweir/core';

import * as canaryRows from './canary-rows.js';
import * as quarantineRows from './quarantine-rows.js';
import * as schemas from './schemas.js';
import * as silenceRows from './silence-rows.js';
import * as speedRows from './speed-rows.js';
import * as storeRows from './store-rows.js';
import * as usageRows from './usage-rows.js';

type PeerUpdate = core.messages.PeerUpdate;

type ObjectRow = [string, number, unknown, string, unknown?];

/** Half of the digest, the minimum that RFC 2104 recommends. */
const SIGNATURE_BYTES = 16;
/** Resolution of send times, which order the updates of one sender. */
const TIME_STEPS_PER_MS = 100;

function toTuple(peerUpdate: PeerUpdate): schemas.Body {
  switch (peerUpdate.kind) {
    case 'work': {
      const { from, incarnation, sentAtMs, scope, instances, isSnapshot, work, sentParts } =
        peerUpdate.update;
      return [
        'work',
        from,
        incarnation,
        Math.round(sentAtMs * TIME_STEPS_PER_MS) / TIME_STEPS_PER_MS,
        scope,
        instances,
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
    case 'silence':
      return silenceRows.toTuple(peerUpdate.update);
    case 'speeds':
      return speedRows.toTuple(peerUpdate.update);
    case 'usage':
      return usageRows.toTuple(peerUpdate.update);
    case 'quarantine':
      return ['quarantine', peerUpdate.update.from, quarantineRows.toRows(peerUpdate.update)];
    case 'canary':
      return ['canary', peerUpdate.update.from, canaryRows.toRows(peerUpdate.update)];
    case 'stores':
      return ['stores', peerUpdate.from, storeRows.toRows(peerUpdate.updates)];
    case 'question':
      return ['question', peerUpdate.from, toQuestionTuple(peerUpdate.question)];
    case 'answer':
      return [
        'answer',
        peerUpdate.from,
        toQuestionTuple(peerUpdate.question),
        peerUpdate.positions.map(({ objectKind, revision, changedAt, ageMs }) => [
          objectKind,
          revision,
          changedAt,
          ageMs,
        ]),
      ];
    case 'changes': {
      const { objectKind, since, revision, objects, removed } = peerUpdate.changes;
      const rows = objects.map(({ key, version, value, writeId, status }): ObjectRow =>
        status === undefined
          ? [key, version, value, writeId]
          : [key, version, value, writeId, status],
      );
      return ['changes', peerUpdate.from, objectKind, since, revision, rows, [...removed]];
    }
    default:
      return core.results.assertNever(peerUpdate);
  }
}

function toQuestionTuple({ incarnation, sentAt }: core.messages.Question): schemas.QuestionTuple {
  return [incarnation, sentAt.monotonicMs, sentAt.wallMs];
}

function toQuestion([incarnation, monotonicMs, wallMs]: schemas.QuestionTuple) {
  return { incarnation, sentAt: { monotonicMs, wallMs } };
}

function fromTuple(tuple: schemas.Body): PeerUpdate {
  switch (tuple[0]) {
    case 'work': {
      const [kind, from, incarnation, sentAtMs, scope, instances, isSnapshot, workRows, sentRows] =
        tuple;
      const work = workRows.map(([upstream, unreadTokens, promptTokens, requests]) => ({
        upstream,
        work: { unreadTokens, promptTokens, requests },
      }));
      const sentParts = sentRows.map(([upstream, salt, ids]) => ({ upstream, salt, parts: ids }));
      return {
        kind,
        update: { from, incarnation, sentAtMs, scope, instances, isSnapshot, work, sentParts },
      };
    }
    case 'silence':
      return { kind: 'silence', update: silenceRows.fromTuple(tuple) };
    case 'speeds':
      return { kind: 'speeds', update: speedRows.fromTuple(tuple) };
    case 'usage':
      return { kind: 'usage', update: usageRows.fromTuple(tuple) };
    case 'quarantine': {
      const [kind, from, rows] = tuple;
      return { kind, update: quarantineRows.fromRows(from, rows) };
    }
    case 'canary': {
      const [kind, from, rows] = tuple;
      return { kind, update: canaryRows.fromRows(from, rows) };
    }
    case 'stores': {
      const [kind, from, rows] = tuple;
      return { kind, from, updates: storeRows.fromRows(rows) };
    }
    case 'question': {
      const [kind, from, question] = tuple;
      return { kind, from, question: toQuestion(question) };
    }
    case 'answer': {
      const [kind, from, question, positionRows] = tuple;
      const positions = positionRows.map(([objectKind, revision, changedAt, ageMs]) => ({
        objectKind,
        revision,
        changedAt,
        ageMs,
      }));
      return { kind, from, question: toQuestion(question), positions };
    }
    case 'changes': {
      const [kind, from, objectKind, since, revision, objectRows, removed] = tuple;
      const objects = objectRows.map(([key, version, value, writeId, status]) => ({
        key,
        version,
        value,
        writeId,
        ...(status === undefined ? {} : { status }),
      }));
      return { kind, from, changes: { objectKind, since, revision, objects, removed } };
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
  const text = core.json.parse(body.toString());
  const parsed = text.isOk() ? schemas.parse(text.value.value) : undefined;
  if (!parsed) return undefined;
  const key = keyOf(parsed[1]);
  if (key === undefined || !crypto.timingSafeEqual(signature, sign(body, key))) return undefined;
  return fromTuple(parsed);
}

function sign(body: Buffer, key: string): Buffer {
  return crypto.createHmac('sha256', key).update(body).digest().subarray(0, SIGNATURE_BYTES);
}
