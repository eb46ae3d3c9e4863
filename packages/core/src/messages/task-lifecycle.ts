/** Lifecycle messages that the kernel sends to every task. */
export type LifecycleMessage =
  { type: 'task.start' } | { type: 'task.drain' } | { type: 'task.stop' };
