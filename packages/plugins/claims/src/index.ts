/**
 * Makes requests with an idempotency key take effect once, by means of claims on objects of the
 * platform.
 */
import * as core from '@medlarweir/core';

import * as claimsTask from './claims-task.js';

core.kernel.register({
  name: 'claims',
  hooks: { 'instance:setup': ({ addTask }) => addTask(claimsTask.definition) },
});
