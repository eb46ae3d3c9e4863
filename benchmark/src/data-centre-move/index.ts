/** Registers the benchmark of a data centre that is taken out of service and returns. */
import * as registry from '../registry.js';
import * as measure from './measure.js';

registry.register({
  name: 'data-centre-move',
  summary: 'a data centre is taken out at short notice under load, and comes back cold',
  run: () => Promise.resolve(measure.run()),
});
