/** Keeps the configuration in force: adopts higher generations and tells every other task. */
import * as core from '@medlarweir/core';

import * as configurationTask from './configuration-task.js';

core.kernel.register({
  name: 'configuration',
  hooks: { 'instance:setup': ({ addTask }) => addTask(configurationTask.definition) },
});
