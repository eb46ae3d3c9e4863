/** Serves the metrics over HTTP for scraping. */
import * as core from '@medlarweir/core';

import * as metricsTask from './metrics-task.js';

core.kernel.register<core.settings.gateway.GatewaySettings>({
  name: 'metrics-http',
  hooks: {
    'instance:setup': ({ settings, addTask }) => {
      if (settings.metrics !== undefined) addTask(metricsTask.definition(settings.metrics));
    },
  },
});
