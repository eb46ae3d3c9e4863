/** Carries messages between instances, and from operators to instances, over tRPC. */
import * as core from '@medlarweir/core';

import * as peersTask from './peers-task.js';

export * as client from './client.js';
export type * as router from './router.js';

core.kernel.register({
  name: 'peers-trpc',
  hooks: { 'instance:setup': ({ addTask }) => addTask(peersTask.definition) },
});
