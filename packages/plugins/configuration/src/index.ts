/**
 * Maintains the current configuration: adopts higher generations and publishes them to the other
 * tasks.
 */
import * as core from '@medlarweir/core';

import * as configurationTask from './configuration-task.js';

core.kernel.register({
  name: 'configuration',
  hooks: { 'instance:setup': ({ addTask }) => addTask(configurationTask.definition) },
});
