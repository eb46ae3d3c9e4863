/** Registers the benchmark of fair shares under contention. */
import * as registry from '../registry.js';
import * as measure from './measure.js';

registry.register({
  name: 'shares',
  summary: 'contended load: fair shares, refusals and recovery against simple baselines',
  run: () => Promise.resolve(measure.run()),
});
