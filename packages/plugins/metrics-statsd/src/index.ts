/** Sends metrics to a StatsD server through hot-shots. */
import * as core from '@medlarweir/core';

import * as metricsTask from './metrics-task.js';

core.kernel.register({
  name: 'metrics-statsd',
  hooks: {
    'instance:setup': ({ settings, addTask }) => {
      if (settings.statsd !== undefined) addTask(metricsTask.definition(settings.statsd));
    },
  },
});
