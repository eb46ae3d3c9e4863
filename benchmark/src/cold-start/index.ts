/** Registers the benchmark of cold starts. */
import * as registry from '../registry.js';
import * as measure from './measure.js';

registry.register({
  name: 'cold-start',
  summary: 'replicas start cold, or turn cold under load: load seen against what they bear',
  run: () => Promise.resolve(measure.run()),
});
