/** `overhead`: compares an entry instance with calling the engine directly, as ratios in one run. */
import * as registry from '../registry.js';
import * as overhead from './overhead.js';

registry.register({
  name: 'overhead',
  summary: 'entry instance against the engine itself: first token and throughput',
  run: overhead.run,
});
