/** The task that owns the connections to the platform. */
import * as core from '@medlarweir/core';

import * as client from './client.js';
import * as watches from './watches.js';

type Outside = core.messages.PlatformMessage;
type Message = Outside | watches.Message;
type State = watches.State;

type Call = Extract<Outside, { ticket: string }>;
type Command = watches.Command | { kind: 'call'; call: Call } | { kind: 'close' };
type Step = core.kernel.Step<State, Command>;
type Surroundings = core.kernel.Surroundings<Message>;

export const definition: core.kernel.TaskDefinition<State, Message, Command> = {
  name: 'platform',
  create: (surroundings) => {
    const platform = client.create(surroundings.settings.platform);
    return {
      initial: watches.initial(surroundings.settings.name),
      decide,
      perform: (command) => perform(surroundings, platform, command),
      dump,
    };
  },
};

function dump({ isAvailable, watches: held }: State): unknown {
  return {
    isAvailable,
    watches: Object.entries(held).map(([id, { watch, revision, failures }]) => ({
      prefix: id,
      readers: watch.readers.length,
      revision,
      failures,
    })),
  };
}

function decide(state: State, message: Message): Step {
  switch (message.type) {
    case 'platform.read':
    case 'platform.list':
    case 'platform.write':
      return { state, commands: [{ kind: 'call', call: message }] };
    case 'platform.watch':
      return watches.addReader(state, message.prefix, message.replyTo);
    case 'platform.unwatch':
      return watches.removeReader(state, message.prefix, message.replyTo);
    case 'platform.watch-instances':
      return watches.watchInstances(state, message.pauseMs, message.replyTo);
    case 'watch.answered':
    case 'watch.failed':
    case 'watch.due':
      return watches.decide(state, message);
    case 'task.stop':
      return { state: { ...state, isStopped: true }, commands: [{ kind: 'close' }] };
    case 'task.start':
    case 'task.leave':
      return { state, commands: [] };
    default:
      return core.results.never(message);
  }
}

function perform(surroundings: Surroundings, platform: client.Client, command: Command): void {
  switch (command.kind) {
    case 'call':
      void answerCall(surroundings, platform, command.call);
      return;
    case 'poll':
      void pollOnce(surroundings, platform, command.id, command.watched);
      return;
    case 'poll-later': {
      const { id, run, delayMs } = command;
      surroundings.schedule(`watch-${id}`, delayMs, { type: 'watch.due', id, run });
      return;
    }
    case 'tell-objects':
      command.reader.send(command.message);
      return;
    case 'tell-instances':
      command.reader.send(command.message);
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
  surroundings: Surroundings,
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
  surroundings: Surroundings,
  platform: client.Client,
  id: string,
  watched: watches.Watched,
): Promise<void> {
  const { run } = watched;
  surroundings.send('metrics', { type: 'metrics.count', name: 'platform.calls', by: 1 });
  const outcome = await poll(platform, watched);
  surroundings.self.send(
    outcome.match<watches.Message>(
      (news) => ({ type: 'watch.answered', id, run, news }),
      (failure) => ({ type: 'watch.failed', id, run, failure }),
    ),
  );
}

async function poll(platform: client.Client, { watch, revision }: watches.Watched) {
  switch (watch.kind) {
    case 'objects': {
      const askedAt = core.kernel.readClock();
      const found = await platform.watch(watch.prefix, revision);
      return found.map<watches.News>((news) => ({ kind: 'objects', ...news, askedAt }));
    }
    case 'instances': {
      const found = await platform.watchInstances(revision);
      return found.map<watches.News>((news) => ({ kind: 'instances', ...news }));
    }
    default:
      return core.results.never(watch);
  }
}
