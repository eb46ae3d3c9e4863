/** The platform's versioned objects, kept in memory. */

export type StoredObject = {
  key: string;
  version: number;
  value: unknown;
  writeId: string;
  /** Grows with every write of any object. */
  revision: number;
};

export type Write = { expectedVersion: number; value: unknown; writeId: string };
export type Written =
  { kind: 'written'; version: number } | { kind: 'conflict'; current: StoredObject | undefined };

export type Objects = {
  read(key: string): StoredObject | undefined;
  list(prefix: string, afterRevision?: number): readonly StoredObject[];
  /** Takes effect only if the object's version is the expected one; 0 means it does not exist. */
  write(key: string, write: Write): Written;
  revision(): number;
};

export function create(): Objects {
  const objects = new Map<string, StoredObject>();
  const counter = { revision: 0 };
  return {
    read: (key) => objects.get(key),
    list: (prefix, afterRevision = 0) =>
      [...objects.values()].filter(
        ({ key, revision }) => key.startsWith(prefix) && revision > afterRevision,
      ),
    write(key, { expectedVersion, value, writeId }) {
      const current = objects.get(key);
      if ((current?.version ?? 0) !== expectedVersion) return { kind: 'conflict', current };
      counter.revision += 1;
      const version = expectedVersion + 1;
      objects.set(key, { key, version, value, writeId, revision: counter.revision });
      return { kind: 'written', version };
    },
    revision: () => counter.revision,
  };
}
