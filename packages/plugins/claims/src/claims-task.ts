/** Task that owns this instance's view of the pages of claims. */
import * as core from '@medlarweir/core';

type Message = core.messages.ClaimsMessage;
type State = core.claims.State;
type Command = core.claims.Command;

export const definition: core.kernel.TaskDefinition<State, Message, Command> = {
  name: 'claims',
  create: (context) => ({
    initial: core.claims.initial(context.incarnation, context.settings.name),
    decide: core.claims.decide,
    perform: (command) => perform(context, command),
    dump,
  }),
};

function dump({ attempts, batches, instances, suspectedUntilMs }: State): unknown {
  const phases = [...attempts.values()].map(({ phase }) => phase.kind);
  return {
    isSuspended: batches.isSuspended,
    instances,
    doubted: [...suspectedUntilMs.keys()],
    attempts: Object.fromEntries(
      phases.map((kind) => [kind, phases.filter((other) => other === kind).length]),
    ),
    pages: [...batches.pages].map(([key, { version, pending, batch }]) => ({
      key,
      version,
      queued: pending.length,
      underWay: batch?.items.length ?? 0,
    })),
  };
}

function perform(context: core.kernel.TaskContext<Message>, command: Command): void {
  const { self, send } = context;
  switch (command.kind) {
    case 'read':
      send('platform', {
        type: 'platform.read',
        correlationId: command.correlationId,
        key: command.key,
        replyTo: self,
      });
      return;
    case 'write':
      send('metrics', { type: 'metrics.count', name: 'claims.writes', by: 1 });
      send('platform', {
        type: 'platform.write',
        correlationId: command.correlationId,
        key: command.key,
        expectedVersion: command.expectedVersion,
        value: command.value,
        writeId: command.writeId,
        replyTo: self,
      });
      return;
    case 'schedule':
      context.schedule(timerId(command.timer), command.delayMs, {
        type: 'claims.timer-fired',
        timer: command.timer,
      });
      return;
    case 'unschedule':
      context.unschedule(timerId(command.timer));
      return;
    case 'notify':
      send('peers', {
        type: 'peers.send',
        to: [command.to],
        message: {
          kind: 'digest',
          for: 'claims',
          from: context.settings.name,
          digest: command.digest,
        },
      });
      return;
    case 'answer':
      command.replyTo.send(command.message);
      return;
    case 'confirm':
      command.replyTo.send(command.message);
      return;
    case 'record-event':
      context.record({ name: command.name, details: { reason: command.detail } });
      return;
    case 'left':
      context.drained();
      return;
    default:
      core.results.assertNever(command);
  }
}

/** Returns one timer ID per page, one per operation of an attempt, and one for the probe. */
function timerId(timer: core.messages.ClaimsTimer): string {
  switch (timer.kind) {
    case 'page':
      return `page ${timer.key}`;
    case 'attempt':
      return `${timer.operation} ${timer.attemptId}`;
    case 'probe':
      return 'probe';
    default:
      return core.results.assertNever(timer);
  }
}
