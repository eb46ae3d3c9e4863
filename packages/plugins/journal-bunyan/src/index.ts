/** Writes the journal as JSON lines through bunyan. */
import * as core from '@medlarweir/core';

import * as journalTask from './journal-task.js';

core.kernel.register<{ name: string; dataCentre: string; logLevel: core.events.Level }>({
  name: 'journal-bunyan',
  hooks: { 'instance:setup': ({ addTask }) => addTask(journalTask.definition) },
});
