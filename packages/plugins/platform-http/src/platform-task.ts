/** The task that owns the connections to the platform and the watches over them. */
import * as core from '@medlarweir/core';

import * as client from './client.js';

type Outside = core.messages.PlatformMessage;
type Watch =
  | {
      kind: 'objects';
      prefix: string;
      replyTo: core.kernel.Address<core.messages.PlatformChanged>;
    }
  | { kind: 'instances'; replyTo: core.kernel.Address<core.messages.PlatformInstances> };

/** What the shell tells its own task about a watch. */
type Inside =
  | { type: 'watch.answered'; watch: number; revision: number }
  | { type: 'watch.failed'; watch: number; failure: core.results.Failure }
  | { type: 'watch.retry'; watch: number };
type Message = Outside | Inside;

type Watched = { watch: Watch; revision: number; failures: number };
type State = { watches: readonly Watched[]; isAvailable: boolean; isStopped: boolean };

type Call = Extract<Outside, { ticket: string }>;
type Command =
  | { kind: 'call'; call: Call }
  | { kind: 'poll'; at: number; watched: Watched }
  | { kind: 'retry-later'; at: number; delayMs: number }
  | { kind: 'note'; name: 'platformUnavailable' | 'platformBack'; detail: string }
  | { kind: 'close' };

type Step = core.kernel.Step<State, Command>;

const FIRST_RETRY_MS = 100;
const LONGEST_RETRY_MS = 2_000;

export const definition: core.kernel.TaskDefinition<State, Message, Command> = {
  name: 'platform',
  create: (surroundings) => {
    const platform = client.create(surroundings.settings.platform);
    return {
      initial: { watches: [], isAvailable: true, isStopped: false },
      decide,
      perform: (command) => perform(surroundings, platform, command),
      dump: ({ watches, isAvailable }) => ({
        isAvailable,
        watches: watches.map(({ watch, revision, failures }) => ({
          prefix: watch.kind === 'objects' ? watch.prefix : '(instances)',
          revision,
          failures,
        })),
      }),
    };
  },
};

function decide(state: State, message: Message): Step {
  switch (message.type) {
    case 'platform.read':
    case 'platform.list':
    case 'platform.write':
      return { state, commands: [{ kind: 'call', call: message }] };
    case 'platform.watch':
      return addWatch(state, {
        kind: 'objects',
        prefix: message.prefix,
        replyTo: message.replyTo,
      });
    case 'platform.watch-instances':
      return addWatch(state, { kind: 'instances', replyTo: message.replyTo });
    case 'watch.answered':
      return onAnswered(state, message);
    case 'watch.failed':
      return onFailed(state, message);
    case 'watch.retry':
      return poll(state, message.watch);
    case 'task.stop':
      return { state: { ...state, isStopped: true }, commands: [{ kind: 'close' }] };
    case 'task.start':
    case 'task.leave':
      return { state, commands: [] };
    default:
      return core.results.never(message);
  }
}

function addWatch(state: State, watch: Watch): Step {
  const watches = [...state.watches, { watch, revision: 0, failures: 0 }];
  return poll({ ...state, watches }, watches.length - 1);
}

function poll(state: State, at: number): Step {
  const watched = state.watches[at];
  if (!watched || state.isStopped) return { state, commands: [] };
  return { state, commands: [{ kind: 'poll', at, watched }] };
}

function withWatch(state: State, at: number, change: Partial<Watched>): State {
  const watches = state.watches.map((each, i) => (i === at ? { ...each, ...change } : each));
  return { ...state, watches };
}

function onAnswered(state: State, message: Extract<Inside, { type: 'watch.answered' }>): Step {
  const { watch, revision } = message;
  const next = poll(
    withWatch({ ...state, isAvailable: true }, watch, { revision, failures: 0 }),
    watch,
  );
  if (state.isAvailable) return next;
  const note: Command = { kind: 'note', name: 'platformBack', detail: 'a watch was answered' };
  return { state: next.state, commands: [note, ...next.commands] };
}

function onFailed(state: State, message: Extract<Inside, { type: 'watch.failed' }>): Step {
  if (state.isStopped) return { state, commands: [] };
  const failures = (state.watches[message.watch]?.failures ?? 0) + 1;
  const delayMs = Math.min(LONGEST_RETRY_MS, FIRST_RETRY_MS * 2 ** (failures - 1));
  const retry: Command = { kind: 'retry-later', at: message.watch, delayMs };
  const next = withWatch({ ...state, isAvailable: false }, message.watch, { failures });
  if (!state.isAvailable) return { state: next, commands: [retry] };
  const detail = core.results.describe(message.failure);
  return { state: next, commands: [retry, { kind: 'note', name: 'platformUnavailable', detail }] };
}

function perform(
  surroundings: core.kernel.Surroundings<Message>,
  platform: client.Client,
  command: Command,
): void {
  switch (command.kind) {
    case 'call':
      void answerCall(surroundings, platform, command.call);
      return;
    case 'poll':
      void pollOnce(surroundings, platform, command.at, command.watched);
      return;
    case 'retry-later':
      surroundings.schedule(`watch-${command.at}`, command.delayMs, {
        type: 'watch.retry',
        watch: command.at,
      });
      return;
    case 'note':
      surroundings.record({ name: command.name, details: { reason: command.detail } });
      return;
    case 'close':
      void platform.close();
      return;
    default:
      core.results.never(command);
  }
}

async function answerCall(
  surroundings: core.kernel.Surroundings<Message>,
  platform: client.Client,
  call: Call,
): Promise<void> {
  surroundings.send('metrics', { type: 'metrics.count', name: 'platform.calls', by: 1 });
  const answer = await makeCall(platform, call);
  call.replyTo.send({ type: 'platform.answered', ticket: call.ticket, answer });
}

function makeCall(platform: client.Client, call: Call): Promise<core.messages.PlatformAnswer> {
  switch (call.type) {
    case 'platform.read':
      return platform.read(call.key);
    case 'platform.list':
      return platform.list(call.prefix);
    case 'platform.write':
      return platform.write(call);
    default:
      return core.results.never(call);
  }
}

async function pollOnce(
  surroundings: core.kernel.Surroundings<Message>,
  platform: client.Client,
  at: number,
  { watch, revision }: Watched,
): Promise<void> {
  surroundings.send('metrics', { type: 'metrics.count', name: 'platform.calls', by: 1 });
  const outcome = await pollWatch(platform, watch, revision);
  surroundings.self.send(
    outcome.match<Inside>(
      (next) => ({ type: 'watch.answered', watch: at, revision: next }),
      (failure) => ({ type: 'watch.failed', watch: at, failure }),
    ),
  );
}

/** Asks once, delivers what is new, and returns the revision to go on from. */
async function pollWatch(platform: client.Client, watch: Watch, revision: number) {
  switch (watch.kind) {
    case 'objects': {
      const found = await platform.watch(watch.prefix, revision);
      return found.map((news) => {
        const { objects } = news;
        watch.replyTo.send({ type: 'platform.changed', prefix: watch.prefix, objects });
        return news.revision;
      });
    }
    case 'instances': {
      const found = await platform.watchInstances(revision);
      return found.map((news) => {
        const isNew = news.revision > revision;
        const { instances } = news;
        if (isNew) watch.replyTo.send({ type: 'platform.instances-changed', instances });
        return news.revision;
      });
    }
    default:
      return core.results.never(watch);
  }
}
