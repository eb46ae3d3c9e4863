/** Rolls out the newest weights to the upstreams while holding a lease. */
import * as core from '@medlarweir/core';

import * as rolloutsTask from './rollouts-task.js';

core.kernel.register<core.settings.gateway.GatewaySettings>({
  name: 'rollouts',
  hooks: { 'instance:setup': ({ addTask }) => addTask(rolloutsTask.definition) },
});
