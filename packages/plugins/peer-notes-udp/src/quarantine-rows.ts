/** Rows of updates about quarantined parts, and their distribution over datagrams. */
import type * as core from '@medlarweir/core';

import type * as schemas from './schemas.js';

type Update = core.quarantine.Update;

/** A packet of 1,472 bytes, less the signature, the name of the sender and the brackets. */
const MAX_ROWS_BYTES = 1_200;

export function toRows({ suspects, cleared, verdicts }: Update): schemas.QuarantineRows {
  return [
    suspects.map(toSuspectRow),
    cleared.map(({ model, part }) => [model, part]),
    verdicts.map(toVerdictRow),
  ];
}

export function fromRows(
  from: string,
  [suspectRows, clearedRows, verdictRows]: schemas.QuarantineRows,
): Update {
  return {
    from,
    suspects: suspectRows.map(fromSuspectRow),
    cleared: clearedRows.map(([model, part]) => ({ model, part })),
    verdicts: verdictRows.map(fromVerdictRow),
  };
}

function toSuspectRow(suspect: core.quarantine.Suspect): schemas.SuspectRow {
  const { crash, upstream, requestId, clientAccount, model, parts, hadHead, ageMs } = suspect;
  const age = Math.round(ageMs);
  return [crash, upstream, requestId, clientAccount, model, [...parts], hadHead, age];
}

function toVerdictRow(verdict: core.quarantine.Verdict): schemas.VerdictRow {
  const { model, part, companions, clientAccounts, crashes, condemnedAtMs, trials } = verdict;
  const crashRows = crashes.map(({ upstream, requestId }): [string, string] => [
    upstream,
    requestId,
  ]);
  const beside: [string[]?] = companions.length === 0 ? [] : [[...companions]];
  return [model, part, [...clientAccounts], crashRows, condemnedAtMs, trials, ...beside];
}

function fromSuspectRow([
  crash,
  upstream,
  requestId,
  clientAccount,
  model,
  parts,
  hadHead,
  ageMs,
]: schemas.SuspectRow): core.quarantine.Suspect {
  return { crash, upstream, requestId, clientAccount, model, parts, hadHead, ageMs };
}

function fromVerdictRow([
  model,
  part,
  clientAccounts,
  crashRows,
  condemnedAtMs,
  trials,
  companions = [],
]: schemas.VerdictRow): core.quarantine.Verdict {
  const crashes = crashRows.map(([upstream, requestId]) => ({ upstream, requestId }));
  return { model, part, companions, clientAccounts, crashes, condemnedAtMs, trials };
}

type Item = Pick<Update, 'suspects' | 'cleared' | 'verdicts'>;

const NOTHING: Item = { suspects: [], cleared: [], verdicts: [] };

/**
 * Updates that each fit into a packet. Names come from callers: an item that is larger by itself goes alone,
 * and is fragmented on its way.
 */
export function split({ from, suspects, cleared, verdicts }: Update): readonly Update[] {
  const items: readonly Item[] = [
    ...verdicts.map((each) => ({ ...NOTHING, verdicts: [each] })),
    ...suspects.map((each) => ({ ...NOTHING, suspects: [each] })),
    ...cleared.map((each) => ({ ...NOTHING, cleared: [each] })),
  ];
  const initial: { groups: Item[]; room: number } = { groups: [], room: 0 };
  const { groups } = items.reduce(({ groups: before, room }, item) => {
    const size = sizeOf(item);
    const last = before.at(-1);
    return last && size <= room
      ? { groups: [...before.slice(0, -1), merge(last, item)], room: room - size }
      : { groups: [...before, item], room: MAX_ROWS_BYTES - size };
  }, initial);
  return groups.map((each) => ({ from, ...each }));
}

function sizeOf(item: Item): number {
  return Buffer.byteLength(JSON.stringify(toRows({ from: '', ...item })));
}

function merge(one: Item, other: Item): Item {
  return {
    suspects: [...one.suspects, ...other.suspects],
    cleared: [...one.cleared, ...other.cleared],
    verdicts: [...one.verdicts, ...other.verdicts],
  };
}
