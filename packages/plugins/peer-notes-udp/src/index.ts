/**
 * Exchanges updates with other instances: about the work that each has in flight at upstreams, and
 * about what one instance reads for others.
 */
import * as core from '@medlarweir/core';

import * as peerUpdatesTask from './peer-updates-task.js';
import * as readersTask from './readers-task.js';

export * as datagram from './datagram.js';
export * as audiences from './audiences.js';
export * as canaryRows from './canary-rows.js';
export * as quarantineRows from './quarantine-rows.js';

core.kernel.register<core.settings.gateway.GatewaySettings>({
  name: 'peer-notes-udp',
  hooks: {
    'instance:setup': ({ addTask, settings }) => {
      if (settings.notes === undefined) return;
      addTask(peerUpdatesTask.definition(settings.notes));
      addTask(readersTask.definition);
    },
  },
});
