/** Reaches the platform's object API over HTTP. */
import * as core from '@medlarweir/core';

import * as platformTask from './platform-task.js';

export * as client from './client.js';
export * as watches from './watches.js';
export * as wire from './wire.js';

core.kernel.register({
  name: 'platform-http',
  hooks: { 'instance:setup': ({ addTask }) => addTask(platformTask.definition) },
});
