/** Follows kept-cache stores over HTTP. */
import * as core from '@medlarweir/core';

import * as storesTask from './stores-task.js';

export * as wire from './wire.js';

core.kernel.register({
  name: 'stores-http',
  hooks: { 'instance:setup': ({ addTask }) => addTask(storesTask.definition) },
});
