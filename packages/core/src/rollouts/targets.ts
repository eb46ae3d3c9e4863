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

/**
 * For how long a version newer than this one can have been named, by both clocks; undefined if there is
 * none. Versions in between that were never seen have been named since the same moment at the earliest.
 */
export function outdatedForMs(
  target: Target | undefined,
  version: number,
  now: task.Instant,
): number | undefined {
  if (!target || version >= target.version) return undefined;
  const newer = [...target.replaced, target].filter((each) => each.version > version);
  return Math.max(...newer.map(({ namedAfter }) => staleness.ageMs(namedAfter, now)));
}
