/**
 * The watches over the platform: one poll for all readers of a prefix, with pauses that grow while
 * the platform does not answer, spread over instances.
 */
import * as crypto from 'node:crypto';

import * as core from '@medlarweir/core';

type Changed = core.kernel.Address<core.messages.PlatformChanged>;
type Instances = core.kernel.Address<core.messages.PlatformInstances>;

/** Who reads a watch. */
export type Watch =
  | { kind: 'objects'; prefix: string; readers: readonly Changed[] }
  | { kind: 'instances'; pauseMs: number; readers: readonly Instances[] };

/** A watch and how far it has read. */
export type Watched = {
  watch: Watch;
  /** Names one run of polls; an answer to a poll of another run is dropped. */
  run: number;
  revision: number;
  failures: number;
};

export type News =
  | {
      kind: 'objects';
      revision: number;
      objects: readonly core.messages.StoredObject[];
      askedAt: core.kernel.Instant;
    }
  | { kind: 'instances'; revision: number; instances: readonly core.messages.ListedInstance[] };

/** What the shell tells its own task about a watch. */
export type Message =
  | { type: 'watch.answered'; id: string; run: number; news: News }
  | { type: 'watch.failed'; id: string; run: number; failure: core.results.Failure }
  | { type: 'watch.due'; id: string; run: number };

export type State = {
  instance: string;
  watches: Readonly<Record<string, Watched>>;
  nextRun: number;
  isAvailable: boolean;
  isStopped: boolean;
};

export type Command =
  | { kind: 'poll'; id: string; watched: Watched }
  | { kind: 'poll-later'; id: string; run: number; delayMs: number }
  | { kind: 'tell-objects'; reader: Changed; message: core.messages.PlatformChanged }
  | { kind: 'tell-instances'; reader: Instances; message: core.messages.PlatformInstances }
  | { kind: 'note'; name: 'platformUnavailable' | 'platformBack'; detail: string };

type Step = core.kernel.Step<State, Command>;

const FIRST_RETRY_MS = 100;
const LONGEST_RETRY_MS = 2_000;
const JITTER_STEPS = 1_000;
const INSTANCES_ID = '(instances)';

export function initial(instance: string): State {
  return { instance, watches: {}, nextRun: 1, isAvailable: true, isStopped: false };
}

/** A reader that joins starts the watch anew, so that it hears what the others have heard. */
export function addReader(state: State, prefix: string, reader: Changed): Step {
  const found = state.watches[prefix]?.watch;
  const readers = found?.kind === 'objects' ? found.readers : [];
  return begin(state, prefix, { kind: 'objects', prefix, readers: [...readers, reader] });
}

export function removeReader(state: State, prefix: string, reader: Changed): Step {
  const found = state.watches[prefix];
  if (found?.watch.kind !== 'objects') return { state, commands: [] };
  const readers = found.watch.readers.filter((each) => each !== reader);
  const { [prefix]: ended, ...rest } = state.watches;
  if (readers.length === 0) return { state: { ...state, watches: rest }, commands: [] };
  const kept: Watched = { ...found, watch: { ...found.watch, readers } };
  return { state: { ...state, watches: { ...rest, [prefix]: kept } }, commands: [] };
}

/** A known reader only changes the pause. */
export function watchInstances(state: State, pauseMs: number, reader: Instances): Step {
  const found = state.watches[INSTANCES_ID];
  const known = found?.watch.kind === 'instances' ? found.watch.readers : [];
  if (found && known.includes(reader)) {
    const watch: Watch = { kind: 'instances', pauseMs, readers: known };
    const watches = { ...state.watches, [INSTANCES_ID]: { ...found, watch } };
    return { state: { ...state, watches }, commands: [] };
  }
  return begin(state, INSTANCES_ID, { kind: 'instances', pauseMs, readers: [...known, reader] });
}

function begin(state: State, id: string, watch: Watch, revision = 0): Step {
  const run = state.nextRun;
  const watched: Watched = { watch, run, revision, failures: 0 };
  return {
    state: { ...state, nextRun: run + 1, watches: { ...state.watches, [id]: watched } },
    commands: [{ kind: 'poll', id, watched }],
  };
}

export function decide(state: State, message: Message): Step {
  const watched = state.watches[message.id];
  if (state.isStopped || watched?.run !== message.run) return { state, commands: [] };
  switch (message.type) {
    case 'watch.due':
      return { state, commands: [{ kind: 'poll', id: message.id, watched }] };
    case 'watch.answered':
      return onAnswered(state, message, watched);
    case 'watch.failed':
      return onFailed(state, message, watched);
    default:
      return core.results.never(message);
  }
}

function onAnswered(
  state: State,
  { id, news }: Extract<Message, { type: 'watch.answered' }>,
  watched: Watched,
): Step {
  const next: Watched = { ...watched, revision: news.revision, failures: 0 };
  const told = tell(watched, news);
  const back: readonly Command[] = state.isAvailable
    ? []
    : [{ kind: 'note', name: 'platformBack', detail: 'a watch was answered' }];
  return {
    state: { ...state, isAvailable: true, watches: { ...state.watches, [id]: next } },
    commands: [...back, ...told, pollAgain(id, next)],
  };
}

function pollAgain(id: string, watched: Watched): Command {
  const { watch, run } = watched;
  const delayMs = watch.kind === 'instances' ? watch.pauseMs : 0;
  return delayMs > 0 ? { kind: 'poll-later', id, run, delayMs } : { kind: 'poll', id, watched };
}

function tell({ watch, revision }: Watched, news: News): readonly Command[] {
  if (watch.kind === 'objects' && news.kind === 'objects') {
    const { objects, askedAt } = news;
    const message: core.messages.PlatformChanged = {
      type: 'platform.changed',
      prefix: watch.prefix,
      objects,
      removed: [],
      isSnapshot: false,
      askedAt,
    };
    return watch.readers.map((reader) => ({ kind: 'tell-objects', reader, message }));
  }
  const isNew = news.revision > revision;
  if (watch.kind !== 'instances' || news.kind !== 'instances' || !isNew) return [];
  const { instances } = news;
  const message = { type: 'platform.instances-changed' as const, instances };
  return watch.readers.map((reader) => ({ kind: 'tell-instances', reader, message }));
}

function onFailed(
  state: State,
  { id, run, failure }: Extract<Message, { type: 'watch.failed' }>,
  watched: Watched,
): Step {
  const failures = watched.failures + 1;
  const delayMs = retryDelayMs(state.instance, id, failures);
  const retry: Command = { kind: 'poll-later', id, run, delayMs };
  const watches = { ...state.watches, [id]: { ...watched, failures } };
  const next = { ...state, isAvailable: false, watches };
  if (!state.isAvailable) return { state: next, commands: [retry] };
  const detail = core.results.describe(failure);
  return { state: next, commands: [retry, { kind: 'note', name: 'platformUnavailable', detail }] };
}

/** Doubles with each failure; a hash spreads instances over one and a half times the delay. */
function retryDelayMs(instance: string, id: string, failures: number): number {
  const base = Math.min(LONGEST_RETRY_MS, FIRST_RETRY_MS * 2 ** (failures - 1));
  const digest = crypto.createHash('sha256').update(`${instance}/${id}/${failures}`).digest();
  return base * (1 + (digest.readUInt32BE(0) % JITTER_STEPS) / JITTER_STEPS / 2);
}
