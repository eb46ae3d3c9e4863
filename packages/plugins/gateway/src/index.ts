/** Authorizes and routes requests, and handles each accepted request in its own task. */
import * as core from '@medlarweir/core';

import * as gatewayTask from './gateway-task.js';

core.kernel.register<core.settings.gateway.GatewaySettings>({
  name: 'gateway',
  hooks: { 'instance:setup': ({ addTask }) => addTask(gatewayTask.definition) },
});
