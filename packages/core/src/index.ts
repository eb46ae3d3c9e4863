/**
 * The core of medlarweir: the kernel, the core types, and one folder of decisions for each
 * capability.
 */
export * as accounts from './accounts/index.js';
export * as admission from './admission/index.js';
export * as binary from './binary/index.js';
export * as canary from './canary/index.js';
export * as claims from './claims/index.js';
export * as coldStarts from './cold-starts/index.js';
export * as configuration from './configuration/index.js';
export * as drain from './drain/index.js';
export * as events from './events/index.js';
export * as exchange from './exchange/index.js';
export * as feeds from './feeds/index.js';
export * as fleet from './fleet/index.js';
export * as gateway from './gateway/index.js';
export * as json from './json/index.js';
export * as keptContext from './kept-context/index.js';
export * as kernel from './kernel/index.js';
export * as leases from './leases/index.js';
export * as links from './links/index.js';
export * as load from './load/index.js';
export * as loadControl from './load-control/index.js';
export * as membership from './membership/index.js';
export * as messages from './messages/index.js';
export * as metrics from './metrics/index.js';
export * as promptMix from './prompt-mix/index.js';
export * as quarantine from './quarantine/index.js';
export * as readers from './readers/index.js';
export * as relays from './relays/index.js';
export * as results from './results/index.js';
export * as rollouts from './rollouts/index.js';
export * as returns from './returns/index.js';
export * as routing from './routing/index.js';
export * as settings from './settings/index.js';
export * as sharedContext from './shared-context/index.js';
export * as silence from './silence/index.js';
export * as shares from './shares/index.js';
export * as speed from './speed/index.js';
export * as streamOrigins from './stream-origins/index.js';
