/** Sends runs and calls to model engines and plain services over HTTP. */
import * as core from '@medlarweir/core';

import * as upstreamsTask from './upstreams-task.js';

export * as wire from './wire.js';

core.kernel.register({
  name: 'upstreams-http',
  hooks: { 'instance:setup': ({ addTask }) => addTask(upstreamsTask.definition) },
});
