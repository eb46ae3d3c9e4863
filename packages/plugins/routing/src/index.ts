/** Places requests on upstreams and maintains the cache directory. */
import * as core from '@medlarweir/core';

import * as routingTask from './routing-task.js';

core.kernel.register({
  name: 'routing',
  hooks: { 'instance:setup': ({ addTask }) => addTask(routingTask.definition) },
});
