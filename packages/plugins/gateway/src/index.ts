/** Decides on access and runs the life of each request in a task of its own. */
import * as core from '@medlarweir/core';

import * as gatewayTask from './gateway-task.js';

core.kernel.register<core.settings.gateway.GatewaySettings>({
  name: 'gateway',
  hooks: { 'instance:setup': ({ addTask }) => addTask(gatewayTask.definition) },
});
