/** Issues orders to upstreams: models, adapters, versions and roles. */
import * as core from '@medlarweir/core';

core.kernel.register({ name: 'orders', hooks: {} });
