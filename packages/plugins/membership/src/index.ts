/** Maintains the list of other instances and publishes it to the tasks that divide work by it. */
import * as core from '@medlarweir/core';

import * as membershipTask from './membership-task.js';

core.kernel.register({
  name: 'membership',
  hooks: { 'instance:setup': ({ addTask }) => addTask(membershipTask.definition) },
});
