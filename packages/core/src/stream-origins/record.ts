/**
 * The object in which an instance keeps, while several software versions of a service serve, which of them
 * began its streams. It is written as a stream is sent, so that it outlives a kill of all instances.
 */
import * as zod from 'zod';

import * as task from '../kernel/task.js';
import * as serving from './serving.js';

/** The kind of the objects, named by instance. */
export const KIND = 'medlarweir-streams';

/** Beyond the streams that one instance can have begun within the life of a stream. */
const MAX_STREAMS = 50_000;

const text = zod.string().max(256);
const epochMs = zod.number().int().nonnegative();

const schema = zod.object({
  writtenAtMs: epochMs,
  /** One for each software version that serves, or served a moment ago. */
  groups: zod.array(
    zod.object({
      service: text,
      version: text,
      /** Until when streams of the version may be taken up; older programs leave it out. */
      untilMs: epochMs.optional(),
      /** Ids of streams, each with the time after which nobody takes it up, in Unix ms. */
      streams: zod.array(zod.tuple([text, epochMs])).max(MAX_STREAMS),
    }),
  ),
});

export type Content = zod.infer<typeof schema>;

/** The versions that the content names, by `serving.nameOf`. */
export function versionsIn(content: Content | undefined): ReadonlySet<string> {
  return new Set(content?.groups.map(serving.nameOf));
}

export function writtenAt({ writtenAtMs }: Content, now: task.Instant): task.Instant {
  return task.later(now, writtenAtMs - now.wallMs);
}

/** An unreadable object names no stream. */
export function decode(found: unknown): Content | undefined {
  const checked = schema.safeParse(found);
  return checked.success ? checked.data : undefined;
}
