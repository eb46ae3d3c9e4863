/** Exchanges updates with other instances about the work that each has in flight at upstreams. */
import * as core from '@medlarweir/core';

import * as peerUpdatesTask from './peer-updates-task.js';

export * as datagram from './datagram.js';

core.kernel.register<core.settings.gateway.GatewaySettings>({
  name: 'peer-notes-udp',
  hooks: {
    'instance:setup': ({ addTask, settings }) => {
      if (settings.notes !== undefined) addTask(peerUpdatesTask.definition(settings.notes));
    },
  },
});
