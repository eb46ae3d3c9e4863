/** Imports the plug-ins of an entry instance; each registers itself when it is imported. */
import '@medlarweir/plugin-journal-bunyan';
import '@medlarweir/plugin-metrics-statsd';
import '@medlarweir/platform/store';
import '@medlarweir/plugin-peers-trpc';
import '@medlarweir/plugin-upstreams-http';
import '@medlarweir/plugin-stores-http';
import '@medlarweir/plugin-membership';
import '@medlarweir/plugin-admission';
import '@medlarweir/plugin-routing';
import '@medlarweir/plugin-claims';
import '@medlarweir/plugin-orders';
import '@medlarweir/plugin-exchange';
import '@medlarweir/plugin-callers-http';
import '@medlarweir/plugin-configuration';
