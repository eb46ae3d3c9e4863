import * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
import * as fastCheck from 'fast-check';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('gateway: routes');
const { routes } = core.gateway;

function nameAt(path: string, host = 'a.example'): string | undefined {
  const table = fixtures.aRoutingTable({
    routes: [
      fixtures.aRoute({ name: 'short', pathPrefix: '/a/' }),
      fixtures.aRoute({ name: 'long', pathPrefix: '/a/b/' }),
      fixtures.aRoute({ name: 'other host', host: 'b.example', pathPrefix: '/' }),
    ],
  });
  return routes.matchRoute(routes.buildIndex(table), host, path)?.name;
}

suite('a path matches the route of its host with the longest prefix', () => {
  assert.is(nameAt('/a/b/c'), 'long');
  assert.is(nameAt('/a/c'), 'short');
  assert.is(nameAt('/a/b'), 'short');
  assert.is(nameAt('/c/'), undefined);
  assert.is(nameAt('/c/', 'b.example'), 'other host');
  assert.is(nameAt('/a/', 'c.example'), undefined);
});

suite('the query is ignored when a path is matched', () => {
  assert.is(nameAt('/a?x=/a/b/'), undefined);
  assert.is(nameAt('/a/?x=/a/b/'), 'short');
});

suite('services are chosen in proportion to their weights', () => {
  const services = [
    { service: 'a', weight: 90 },
    { service: 'b', weight: 10 },
  ];
  const route = fixtures.aRoute({ services });
  assert.is(routes.chooseService(route, 0), 'a');
  assert.is(routes.chooseService(route, 0.899), 'a');
  assert.is(routes.chooseService(route, 0.901), 'b');
  assert.is(routes.chooseService(route, 0.999999), 'b');
});

suite('a service with weight 0 is never chosen', () => {
  fastCheck.assert(
    fastCheck.property(fastCheck.double({ min: 0, max: 0.999999, noNaN: true }), (draw) => {
      const services = [
        { service: 'none', weight: 0 },
        { service: 'all', weight: 5 },
      ];
      assert.is(routes.chooseService(fixtures.aRoute({ services }), draw), 'all');
    }),
    fixtures.seeded(),
  );
});

suite.run();
