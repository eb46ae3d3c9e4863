/** Knows at which software version of an upstream streams began. */
import * as core from '@medlarweir/core';

import * as streamOriginsTask from './stream-origins-task.js';

core.kernel.register<core.settings.gateway.GatewaySettings>({
  name: 'stream-origins',
  hooks: { 'instance:setup': ({ addTask }) => addTask(streamOriginsTask.definition) },
});
