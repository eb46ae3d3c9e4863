/** Makes keyed requests take effect once, by claims on objects of the platform. */
import * as core from '@medlarweir/core';

import * as claimsTask from './claims-task.js';

core.kernel.register({
  name: 'claims',
  hooks: { 'instance:setup': ({ addTask }) => addTask(claimsTask.definition) },
});
