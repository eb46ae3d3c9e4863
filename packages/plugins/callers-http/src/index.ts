/** The front end for callers over HTTP/1.1, with server-sent events for streamed responses. */
import * as core from '@medlarweir/core';

import * as callersTask from './callers-task.js';

export * as decode from './decode.js';
export * as encode from './encode.js';

core.kernel.register({
  name: 'callers-http',
  hooks: { 'instance:setup': ({ addTask }) => addTask(callersTask.definition) },
});
