/**
 * The weight versions that operators have named. A newer version does not extend the time that is left
 * for leaving an older one, so each keeps the time since which it can have been named.
 */
import * as staleness from '../gateway/staleness.js';
import type * as task from '../kernel/task.js';

/** `namedAfter`: the version was named after this moment, which may be long before it was learned. */
type Named = { version: number; namedAfter: task.Instant };

/** The newest version of a model, and those named before it. */
export type Target = Named & { replaced: readonly Named[] };

export type Targets = ReadonlyMap<string, Target>;

export function create(version: number, namedAfter: task.Instant): Target {
  return { version, namedAfter, replaced: [] };
}

/** Adds the versions that are new; all of them were named after this moment. */
export function update(
  known: Targets,
  versions: Readonly<Record<string, number>>,
  namedAfter: task.Instant,
): Targets {
  const entries = Object.entries(versions).map(([model, version]): [string, Target] => {
    const before = known.get(model);
    if (!before) return [model, create(version, namedAfter)];
    if (before.version >= version) return [model, before];
    const { replaced, ...replacedNow } = before;
    return [model, { version, namedAfter, replaced: [...replaced, replacedNow] }];
  });
  return new Map([...known, ...entries]);
}

/** The versions newer than this one; those in between that were never seen have been named with them. */
function newerThan(target: Target | undefined, version: number): readonly Named[] {
  if (!target || version >= target.version) return [];
  return [...target.replaced, target].filter((each) => each.version > version);
}

/** For how long a newer version can have been named, by both clocks; undefined if there is none. */
export function outdatedForMs(
  target: Target | undefined,
  version: number,
  now: task.Instant,
): number | undefined {
  const newer = newerThan(target, version);
  if (newer.length === 0) return undefined;
  return Math.max(...newer.map(({ namedAfter }) => staleness.ageMs(namedAfter, now)));
}

/**
 * The same by the monotonic clock alone, 0 if there is none. For the pace of a rollout, which a wall clock
 * that is set ahead must not hurry.
 */
export function elapsedMs(target: Target, version: number, now: task.Instant): number {
  const ages = newerThan(target, version).map(
    ({ namedAfter }) => now.monotonicMs - namedAfter.monotonicMs,
  );
  return Math.max(0, ...ages);
}
