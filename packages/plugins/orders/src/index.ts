/** Plug-in for orders to upstreams (models, adapters, versions and roles); it registers no hooks. */
import * as core from '@medlarweir/core';

core.kernel.register({ name: 'orders', hooks: {} });
