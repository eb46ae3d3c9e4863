/** Runs each request, from arrival to its last response, in a task of its own. */
import * as core from '@medlarweir/core';

import * as exchangeTask from './exchange-task.js';

core.kernel.register({
  name: 'exchange',
  hooks: { 'instance:setup': ({ addTask }) => addTask(exchangeTask.definition) },
});
