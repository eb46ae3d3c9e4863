/** Tracks the state of the upstreams and places requests on them. */
import * as core from '@medlarweir/core';

import * as fleetTask from './fleet-task.js';

core.kernel.register<core.settings.gateway.GatewaySettings>({
  name: 'fleet',
  hooks: { 'instance:setup': ({ addTask }) => addTask(fleetTask.definition) },
});
