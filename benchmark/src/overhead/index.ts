/** `overhead`: what an entry instance adds to calling the engine directly, in one run as a ratio. */
import * as registry from '../registry.js';
import * as overhead from './overhead.js';

registry.register({
  name: 'overhead',
  summary: 'entry instance against the engine itself: first token and throughput',
  run: overhead.run,
});
