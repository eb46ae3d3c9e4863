/** Builds the routing input for a modelled prompt, which has no context. */
import type * as core from '@medlarweir/core';

import type * as gates from './gate.js';

export function of(
  requestId: string,
  { service }: gates.Prompt,
  excluded: readonly string[],
): core.messages.PromptOutline {
  return {
    requestId,
    clientAccount: 'alpha',
    service,
    weightVersion: 'v1',
    pieces: [],
    promptTokens: 0,
    maxTokens: 1,
    excluded,
  };
}
