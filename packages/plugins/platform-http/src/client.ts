/** Calls of the platform's object API. Each returns an answer or what is wrong; none throws. */
import * as core from '@medlarweir/core';
import * as neverthrow from 'neverthrow';
import * as undici from 'undici';
import type * as zod from 'zod';

import * as wire from './wire.js';

/** The longest that one call may take. */
export const CALL_TIMEOUT_MS = 2_000;
/** How long the platform may hold a watch before it answers "nothing new". */
export const WATCH_WAIT_MS = 1_500;

export type Client = {
  read(key: string): Promise<core.messages.PlatformAnswer>;
  list(prefix: string): Promise<core.messages.PlatformAnswer>;
  write(request: WriteRequest): Promise<core.messages.PlatformAnswer>;
  watch(prefix: string, after: number): Promise<Watched>;
  watchInstances(after: number): Promise<WatchedInstances>;
  close(): Promise<void>;
};

export type WriteRequest = {
  key: string;
  expectedVersion: number;
  value: unknown;
  writeId: string;
};

export type Watched = neverthrow.Result<
  { revision: number; objects: readonly core.messages.StoredObject[] },
  core.results.Failure
>;
export type WatchedInstances = neverthrow.Result<
  { revision: number; instances: readonly core.messages.ListedInstance[] },
  core.results.Failure
>;

type Reply = { status: number; text: string };

export function create(address: string): Client {
  const dispatcher = new undici.Agent({ connect: { timeout: CALL_TIMEOUT_MS } });
  const origin = `http://${address}`;

  async function call(
    method: 'GET' | 'PUT',
    path: string,
    timeoutMs: number,
    body?: unknown,
  ): Promise<neverthrow.Result<Reply, core.results.Failure>> {
    try {
      const response = await undici.request(`${origin}${path}`, {
        method,
        dispatcher,
        signal: AbortSignal.timeout(timeoutMs),
        headers: { 'content-type': 'application/json' },
        ...(body === undefined ? {} : { body: JSON.stringify(body) }),
      });
      return neverthrow.ok({ status: response.statusCode, text: await response.body.text() });
    } catch (error) {
      return neverthrow.err(core.results.failure('platformUnavailable', String(error)));
    }
  }

  async function poll<Value>(
    path: string,
    schema: zod.ZodType<Value>,
  ): Promise<neverthrow.Result<Value, core.results.Failure>> {
    const reply = await call('GET', path, WATCH_WAIT_MS + CALL_TIMEOUT_MS);
    return reply.andThen(({ status, text }) =>
      status === 200 ? wire.decode(schema, text, path) : neverthrow.err(unexpected(status, path)),
    );
  }

  return {
    async read(key) {
      const path = objectPath(key);
      const reply = await call('GET', path, CALL_TIMEOUT_MS);
      return reply.match((found) => toReadAnswer(found, path), unavailable);
    },
    async list(prefix) {
      const path = `/objects?prefix=${encodeURIComponent(prefix)}`;
      const reply = await call('GET', path, CALL_TIMEOUT_MS);
      return reply.match((found) => toListAnswer(found, path), unavailable);
    },
    async write({ key, ...body }) {
      const path = objectPath(key);
      const reply = await call('PUT', path, CALL_TIMEOUT_MS, body);
      return reply.match((found) => toWriteAnswer(found, path), unavailable);
    },
    watch(prefix, after) {
      const query = `prefix=${encodeURIComponent(prefix)}&after=${after}&waitMs=${WATCH_WAIT_MS}`;
      return poll(`/watch?${query}`, wire.watched as zod.ZodType<WatchedValue>);
    },
    watchInstances(after) {
      return poll(`/instances?after=${after}&waitMs=${WATCH_WAIT_MS}`, wire.instances);
    },
    close: () => dispatcher.destroy(),
  };
}

type WatchedValue = { revision: number; objects: readonly core.messages.StoredObject[] };

function objectPath(key: string): string {
  return `/objects/${encodeURIComponent(key)}`;
}

function unavailable(failure: core.results.Failure): core.messages.PlatformAnswer {
  return { kind: 'unavailable', failure };
}

function unexpected(status: number, path: string): core.results.Failure {
  return core.results.failure('platformUnavailable', `status ${status} for ${path}`);
}

function toReadAnswer({ status, text }: Reply, path: string): core.messages.PlatformAnswer {
  if (status === 404) return { kind: 'missing' };
  if (status !== 200) return unavailable(unexpected(status, path));
  return wire
    .decode(wire.storedObject, text, path)
    .match((object) => ({ kind: 'object', object: toObject(object) }), unavailable);
}

function toListAnswer({ status, text }: Reply, path: string): core.messages.PlatformAnswer {
  if (status !== 200) return unavailable(unexpected(status, path));
  return wire
    .decode(wire.objects, text, path)
    .match((found) => ({ kind: 'objects', objects: found.objects.map(toObject) }), unavailable);
}

function toWriteAnswer({ status, text }: Reply, path: string): core.messages.PlatformAnswer {
  switch (status) {
    case 200:
      return wire
        .decode(wire.written, text, path)
        .match(({ version }) => ({ kind: 'written', version }), unavailable);
    case 409:
      return wire
        .decode(wire.conflict, text, path)
        .match(
          ({ current }) => ({ kind: 'conflict', current: current ? toObject(current) : undefined }),
          unavailable,
        );
    default:
      return unavailable(unexpected(status, path));
  }
}

function toObject(found: zod.infer<typeof wire.storedObject>): core.messages.StoredObject {
  return { key: found.key, version: found.version, value: found.value, writeId: found.writeId };
}
