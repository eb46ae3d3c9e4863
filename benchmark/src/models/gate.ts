/** Models the admission of one entry instance, using the real decisions. */
import * as core from '@medlarweir/core';

/** `hasToken` is set once the caller has a first token, `requestId` on the request for admission. */
export type Prompt = {
  service: string;
  arrivedAtMs: number;
  hasToken: boolean;
  requestId: string;
};

export type Gate = {
  ask(prompt: Prompt): void;
  release(prompt: Prompt): void;
  tell(message: core.messages.AdmissionMessage): void;
};

export type Surroundings = {
  now(): core.kernel.Instant;
  every(delayMs: number, run: () => void): void;
  onGranted(prompt: Prompt): void;
  onRefused(prompt: Prompt): void;
};

const DEADLINE_MS = 60_000;

export function create(around: Surroundings): Gate {
  const admission = { state: core.admission.initial() };

  function tell(message: core.messages.AdmissionMessage): void {
    const step = core.admission.decide(admission.state, message, around.now());
    admission.state = step.state;
    step.commands.forEach(perform);
  }

  function perform(command: core.admission.Command): void {
    switch (command.kind) {
      case 'reply':
        command.replyTo.send(command.message);
        return;
      case 'schedule-tick':
        around.every(core.admission.TICK_MS, () => tell({ type: 'admission.tick' }));
        return;
      default:
        core.results.assertNever(command);
    }
  }

  return {
    tell,
    ask(prompt) {
      const { requestId, service } = prompt;
      const replyTo = {
        send({ answer }: core.messages.AdmissionAnswered) {
          if (answer.kind === 'granted') around.onGranted(prompt);
          else around.onRefused(prompt);
        },
      };
      tell({
        type: 'admission.acquire',
        requestId,
        clientAccount: 'alpha',
        service,
        priority: 'normal',
        deadlineMs: DEADLINE_MS,
        replyTo,
      });
    },
    release({ requestId }) {
      if (requestId !== '') tell({ type: 'admission.release', requestId });
    },
  };
}
