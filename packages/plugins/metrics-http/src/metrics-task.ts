/** Task that owns the metrics and the HTTP server from which they are scraped as text. */
import * as callerConnections from '@medlarweir/caller-connections';
import * as core from '@medlarweir/core';
import * as promClient from 'prom-client';

type Message = core.messages.MetricsMessage;
type State = core.metrics.State;
type Command = core.metrics.Command;
type Settings = core.settings.gateway.GatewaySettings;

/** Upper bounds of the latency buckets: from a call within a data centre to the longest route. */
const BUCKETS_MS = [2, 5, 10, 25, 50, 100, 200, 400, 800, 1_500, 3_000, 6_000, 15_000];
const METRIC_NAME_PREFIX = 'medlarweir_';
/** The only label of a metric; the code bounds the set of its values. */
const LABEL_NAME = 'kind';

/** Creates each metric on first use, with the name that the core's table gives it. */
export function createUpdater(registry: promClient.Registry) {
  const registers = [registry];
  const nameOf = (name: core.messages.MetricName) =>
    `${METRIC_NAME_PREFIX}${name.replaceAll('.', '_')}`;
  const getOrCreate = <Metric extends promClient.Metric>(name: string, create: () => Metric) =>
    (registry.getSingleMetric(name) as unknown as Metric | undefined) ?? create();
  return (command: core.metrics.Measurement) => {
    const name = nameOf(command.name);
    const help = command.name;
    switch (command.type) {
      case 'metrics.count':
        getOrCreate(
          `${name}_total`,
          () =>
            new promClient.Counter({
              name: `${name}_total`,
              help,
              labelNames: [LABEL_NAME],
              registers,
            }),
        ).inc({ [LABEL_NAME]: command.label ?? '' }, command.by);
        return;
      case 'metrics.timing':
        getOrCreate(
          `${name}_ms`,
          () =>
            new promClient.Histogram({
              name: `${name}_ms`,
              help,
              buckets: BUCKETS_MS,
              labelNames: [LABEL_NAME],
              registers,
            }),
        ).observe(command.label === undefined ? {} : { [LABEL_NAME]: command.label }, command.ms);
        return;
      case 'metrics.gauge':
        getOrCreate(name, () => new promClient.Gauge({ name, help, registers })).set(command.value);
        return;
      default:
        core.results.assertNever(command);
    }
  };
}

export function definition(
  address: string,
): core.kernel.TaskDefinition<State, Message, Command, Settings> {
  return {
    name: 'metrics',
    create: ({ record }) => {
      const registry = new promClient.Registry();
      const update = createUpdater(registry);
      const scraped = serve(registry, { record }, address);
      return {
        initial: core.metrics.initial,
        decide: core.metrics.decide,
        perform: (command) => {
          if (command.type === 'metrics.close') scraped.connections.stop();
          else update(command);
        },
        dump: (state) => state,
      };
    },
  };
}

function serve(
  registry: promClient.Registry,
  { record }: Pick<core.kernel.TaskContext<Message, Settings>, 'record'>,
  address: string,
): callerConnections.small.Small {
  const { host, port } = core.settings.address.split(address);
  const scraped = callerConnections.small.create({
    answer(request, response) {
      if (request.url !== '/metrics') {
        response.writeHead(404).end();
        return undefined;
      }
      return registry.metrics().then(
        (text) => {
          response.writeHead(200, { 'Content-Type': registry.contentType }).end(text);
        },
        (error: unknown) => {
          response.writeHead(500).end(String(error));
        },
      );
    },
    onDropped: (dropped) =>
      record({ name: 'connectionsDropped', details: { address: 'metrics', ...dropped } }),
  });
  scraped.server.on('error', ({ message: reason }) =>
    record({ name: 'dependencyLost', details: { dependency: 'metrics', reason } }),
  );
  scraped.server.listen(port, host);
  return scraped;
}
