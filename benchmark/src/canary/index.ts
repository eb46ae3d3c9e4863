/** Registers the benchmark of canary releases. */
import * as registry from '../registry.js';
import * as measure from './measure.js';

registry.register({
  name: 'canary',
  summary: 'a bad version beside an old one: requests that it gets, and time until it is stopped',
  run: () => Promise.resolve(measure.run()),
});
