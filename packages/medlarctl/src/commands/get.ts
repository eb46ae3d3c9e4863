/** `medlarctl get`: shows the configuration in force. */
import * as change from '../change.js';
import * as registry from '../registry.js';

registry.register({
  name: 'get',
  usage: '',
  summary: 'shows the configuration in force',
  run: async ({ platform }) => {
    const base = await change.readInForce(platform);
    return base.map(({ configuration }) => ({
      text: JSON.stringify(configuration ?? null, null, 2),
      data: configuration ?? null,
    }));
  },
});
