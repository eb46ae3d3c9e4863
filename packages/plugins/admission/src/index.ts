/** Decides which requests an instance takes, and when. */
import * as core from '@medlarweir/core';

import * as admissionTask from './admission-task.js';

core.kernel.register({
  name: 'admission',
  hooks: { 'instance:setup': ({ addTask }) => addTask(admissionTask.definition) },
});
