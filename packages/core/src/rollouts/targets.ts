/**
 * The weight versions that operators have named. A newer version does not extend the time that is left
 * for leaving an older one, so each keeps the time at which it was named.
 */

type Named = { version: number; sinceMs: number };

/** The newest version of a model, and those named before it. */
export type Target = Named & { replaced: readonly Named[] };

export type Targets = ReadonlyMap<string, Target>;

export function create(version: number, sinceMs: number): Target {
  return { version, sinceMs, replaced: [] };
}

/** Adds the versions that are new; `sinceMs` is the monotonic time at which they were learned. */
export function update(
  known: Targets,
  versions: Readonly<Record<string, number>>,
  sinceMs: number,
): Targets {
  const entries = Object.entries(versions).map(([model, version]): [string, Target] => {
    const before = known.get(model);
    if (!before) return [model, create(version, sinceMs)];
    if (before.version >= version) return [model, before];
    const { replaced, ...replacedNow } = before;
    return [model, { version, sinceMs, replaced: [...replaced, replacedNow] }];
  });
  return new Map([...known, ...entries]);
}

/** When the first version newer than this one was named; undefined if there is none. */
export function outdatedSinceMs(target: Target | undefined, version: number): number | undefined {
  if (!target || version >= target.version) return undefined;
  const newer = [...target.replaced, target].filter((each) => each.version > version);
  return Math.min(...newer.map(({ sinceMs }) => sinceMs));
}
