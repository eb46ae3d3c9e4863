/** Moves services to new versions of their upstreams' software, where the exposure is limited. */
import * as core from '@medlarweir/core';

import * as canaryTask from './canary-task.js';

core.kernel.register<core.settings.gateway.GatewaySettings>({
  name: 'canary',
  hooks: {
    'instance:setup': ({ addTask, settings }) => {
      if (settings.exposureShare === undefined) return;
      addTask(canaryTask.definition(settings.exposureShare));
    },
  },
});
