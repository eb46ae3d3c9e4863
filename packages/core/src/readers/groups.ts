/**
 * Divides the members into groups, in each of which a few instances read the platform and the context
 * stores for the others. Every instance computes the groups from the members that it knows; two that
 * know different members may read more than necessary, but never know less.
 */
import * as rendezvous from '../membership/rendezvous.js';

export type Member = {
  name: string;
  dataCentre: string;
  /** Share of a core that the instance has; 0 if it does not say. */
  processorShare: number;
};

/**
 * Share of the event calls that a context store holds at once. Up to it, every instance reads for
 * itself; the rest is for calls of processes that just ended.
 */
const INDEPENDENT_SHARE = 0.8;
/** Share for the readers of all groups; while a reader changes, a group may have two. */
const GROUPS_SHARE = 0.67;
/** A reader's link and processor serve this many followers well; more groups cost more calls. */
const MEMBERS_PER_GROUP = 30;
/** Instances that an instance may ask, best first; it reads for itself if none of them answers. */
const MAX_CANDIDATES = 3;
/** Instances of another group that are told about the work of this one. */
const TOLD_PER_GROUP = 2;
const RANKING_KEY = 'reader';

export type Groups = {
  /** Whether instances read for each other at all. */
  isShared: boolean;
  /** Instances that read for this one, best first; none if it ranks first itself. */
  candidates: readonly string[];
  /** In each other group, those that rank first. */
  otherReaders: readonly string[];
};

/** `maxReaders`: how many instances may read the events of a context store at once. */
export function divide(name: string, members: readonly Member[], maxReaders: number): Groups {
  const own = members.find((each) => each.name === name);
  if (!own || members.length <= Math.max(1, Math.floor(maxReaders * INDEPENDENT_SHARE))) {
    return { isShared: false, candidates: [], otherReaders: [] };
  }
  const maxGroups = Math.max(1, Math.floor(maxReaders * GROUPS_SHARE));
  const groups = groupMembers(members, maxGroups);
  const ranked = groups.map(rank);
  const ownGroup = ranked.find((names) => names.includes(name)) ?? [];
  return {
    isShared: true,
    candidates: ownGroup.slice(0, ownGroup.indexOf(name)).slice(0, MAX_CANDIDATES),
    otherReaders: ranked
      .filter((names) => names !== ownGroup)
      .flatMap((names) => names.slice(0, TOLD_PER_GROUP)),
  };
}

/** One group for each data centre; if that makes too many groups, several data centres share one. */
function groupMembers(
  members: readonly Member[],
  maxGroups: number,
): readonly (readonly Member[])[] {
  const dataCentres = [...new Set(members.map(({ dataCentre }) => dataCentre))].sort();
  const wanted = Math.ceil(members.length / MEMBERS_PER_GROUP);
  const count = Math.min(maxGroups, dataCentres.length, wanted);
  const groupOf = new Map(dataCentres.map((each, at) => [each, at % count]));
  return Array.from({ length: count }, (_, group) =>
    members.filter(({ dataCentre }) => groupOf.get(dataCentre) === group),
  );
}

/** The strongest machines first: a reader works for its whole group. */
function rank(group: readonly Member[]): readonly string[] {
  const shares = new Map(group.map(({ name, processorShare }) => [name, processorShare]));
  const ranked = rendezvous.rank(
    RANKING_KEY,
    group.map(({ name }) => name),
  );
  return [...ranked].sort((a, b) => (shares.get(b) ?? 0) - (shares.get(a) ?? 0));
}
