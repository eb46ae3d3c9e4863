/**
 * At which versions streams may begin. Those who take a stream up read what all instances have recorded, so an
 * instance records a version before it begins streams there; else an instance that has not heard of the version
 * would take the streams for those of another.
 */
import type * as task from '../kernel/task.js';
import * as serving from './serving.js';
import type * as states from './state.js';
import * as writing from './writing.js';

/** For each service, the versions at which streams may begin. */
export type Beginnings = ReadonlyMap<string, readonly string[]>;

/**
 * The only version of a service needs no record: everyone who lists the service knows it. It stays so after
 * others have come, which lets streams begin while no record can be written.
 */
export function establish(state: states.State, now: task.Instant): void {
  const { soleVersions } = state;
  const known = new Map(
    [...state.serving.keys()].map((service) => [service, serving.versionsOf(state, service, now)]),
  );
  const names = [...known].flatMap(([service, versions]) =>
    versions.map((version) => serving.nameOf({ service, version })),
  );
  [...soleVersions]
    .filter((each) => !names.includes(each))
    .forEach((each) => soleVersions.delete(each));
  known.forEach((versions, service) => {
    const [only, ...others] = versions;
    if (only !== undefined && others.length === 0) {
      soleVersions.add(serving.nameOf({ service, version: only }));
    }
  });
}

/** What the fleet has not been told yet; undefined if nothing has changed. */
export function takeChange(state: states.State, now: task.Instant): Beginnings | undefined {
  const { soleVersions } = state;
  const recorded = writing.recordedVersions(state, now);
  const beginnings = new Map(
    [...state.serving.keys()].map((service) => [
      service,
      serving.versionsOf(state, service, now).filter((version) => {
        const name = serving.nameOf({ service, version });
        return soleVersions.has(name) || recorded.has(name);
      }),
    ]),
  );
  const text = JSON.stringify([...beginnings]);
  if (text === state.toldVersions) return undefined;
  Object.assign(state, { toldVersions: text });
  return beginnings;
}
