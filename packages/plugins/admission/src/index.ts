/** Decides which requests an instance admits and when, and to which cold upstreams it may send. */
import * as core from '@medlarweir/core';

import * as admissionTask from './admission-task.js';
import * as coldStartsTask from './cold-starts-task.js';

core.kernel.register({
  name: 'admission',
  hooks: {
    'instance:setup': ({ addTask }) => {
      addTask(admissionTask.definition);
      addTask(coldStartsTask.definition);
    },
  },
});
