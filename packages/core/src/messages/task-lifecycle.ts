/** What every task is told about the life of its instance. */
export type LifecycleMessage =
  { type: 'task.start' } | { type: 'task.drain' } | { type: 'task.stop' };
