/** What every task is told about the life of its instance. */
export type TaskMessage = { type: 'task.start' } | { type: 'task.leave' } | { type: 'task.stop' };
