/** Reads the report streams of KV cache stores over HTTP and drops pieces there. */
import * as core from '@medlarweir/core';

import * as storesTask from './stores-task.js';

export * as wire from './wire.js';

core.kernel.register({
  name: 'stores-http',
  hooks: { 'instance:setup': ({ addTask }) => addTask(storesTask.definition) },
});
