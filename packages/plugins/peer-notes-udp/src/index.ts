/** Tells the other instances of the own work at the upstreams, and hears of theirs. */
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
