/** In-memory store of the platform's versioned objects and their change history. */

export type StoredObject = {
  kind: string;
  name: string;
  /** The store's revision at the last change. */
  revision: number;
  createdRevision: number;
  spec: unknown;
  status: unknown;
};

export type ChangeEvent = { object: StoredObject; deleted: boolean };

export type WriteResult =
  | { kind: 'written'; object: StoredObject }
  | { kind: 'conflict'; current: StoredObject }
  | { kind: 'missing' };

export type ObjectStore = {
  revision(): number;
  read(kind: string, name: string): StoredObject | undefined;
  /** Returns the objects with a name greater than `after`, in name order. */
  list(kind: string, after: string): readonly StoredObject[];
  create(kind: string, name: string, spec: unknown): WriteResult;
  /** Replaces unconditionally if `revision` is undefined, and only at that revision otherwise. */
  replace(kind: string, name: string, spec: unknown, revision: number | undefined): WriteResult;
  /** Replaces the status alone, with the same condition. */
  setStatus(kind: string, name: string, status: unknown, revision: number | undefined): WriteResult;
  remove(kind: string, name: string): WriteResult;
  /** Returns `undefined` if the history since the revision has been dropped. */
  eventsSince(kind: string, revision: number): readonly ChangeEvent[] | undefined;
  dropHistory(): void;
  /** How often the store has come back from a copy. */
  era(): number;
  /** Keeps a copy of what is there now. */
  copy(): Copy;
  /** Goes back to a copy; revisions are given out again. */
  restore(copy: Copy): void;
};

export type Copy = { objects: ReadonlyMap<string, StoredObject>; revision: number };

/** The objects of the kind with a name greater than `after`, in name order. */
export function listFrom(
  objects: Copy['objects'],
  kind: string,
  after: string,
): readonly StoredObject[] {
  return [...objects.values()]
    .filter((object) => object.kind === kind && object.name > after)
    .sort((a, b) => (a.name < b.name ? -1 : 1));
}

export function create(): ObjectStore {
  const objects = new Map<string, StoredObject>();
  const history: { kind: string; event: ChangeEvent }[] = [];
  const counter = { revision: 1, oldest: 0, era: 0 };
  const keyOf = (kind: string, name: string) => `${kind}/${name}`;

  function put(kind: string, name: string, spec: unknown): WriteResult {
    const key = keyOf(kind, name);
    const current = objects.get(key);
    if (current && JSON.stringify(current.spec) === JSON.stringify(spec)) {
      return { kind: 'written', object: current };
    }
    counter.revision += 1;
    const createdRevision = current?.createdRevision ?? counter.revision;
    const status = current?.status ?? null;
    return keep({ kind, name, revision: counter.revision, createdRevision, spec, status });
  }

  function keep(object: StoredObject): WriteResult {
    objects.set(keyOf(object.kind, object.name), object);
    history.push({ kind: object.kind, event: { object, deleted: false } });
    return { kind: 'written', object };
  }

  return {
    revision: () => counter.revision,
    read: (kind, name) => objects.get(keyOf(kind, name)),
    list: (kind, after) => listFrom(objects, kind, after),
    create(kind, name, spec) {
      const current = objects.get(keyOf(kind, name));
      return current ? { kind: 'conflict', current } : put(kind, name, spec);
    },
    replace(kind, name, spec, revision) {
      const current = objects.get(keyOf(kind, name));
      if (!current) return { kind: 'missing' };
      const isOther = revision !== undefined && revision !== current.revision;
      return isOther ? { kind: 'conflict', current } : put(kind, name, spec);
    },
    setStatus(kind, name, status, revision) {
      const current = objects.get(keyOf(kind, name));
      if (!current) return { kind: 'missing' };
      if (revision !== undefined && revision !== current.revision) {
        return { kind: 'conflict', current };
      }
      counter.revision += 1;
      return keep({ ...current, status, revision: counter.revision });
    },
    remove(kind, name) {
      const current = objects.get(keyOf(kind, name));
      if (!current) return { kind: 'missing' };
      objects.delete(keyOf(kind, name));
      counter.revision += 1;
      const object = { ...current, revision: counter.revision };
      history.push({ kind, event: { object, deleted: true } });
      return { kind: 'written', object };
    },
    eventsSince(kind, revision) {
      if (revision < counter.oldest || revision > counter.revision) return undefined;
      return history
        .filter((each) => each.kind === kind && each.event.object.revision > revision)
        .map(({ event }) => event);
    },
    era: () => counter.era,
    copy: () => ({ objects: new Map(objects), revision: counter.revision }),
    restore(copy) {
      objects.clear();
      copy.objects.forEach((object, key) => objects.set(key, object));
      const kept = history.filter(({ event }) => event.object.revision <= copy.revision);
      history.splice(0, history.length, ...kept);
      counter.revision = copy.revision;
      counter.era += 1;
    },
    dropHistory() {
      history.length = 0;
      counter.oldest = counter.revision;
    },
  };
}
