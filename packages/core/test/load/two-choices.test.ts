// Guards against herding: instances that follow the same reports all choose the least loaded
// upstream and overload it before the next report.
import * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('order of upstreams of equal cost');

const { load } = core;
const UPSTREAMS = Array.from({ length: 13 }, (_, at) =>
  fixtures.anUpstream({ name: `engine-${at + 1}` }),
);

/** A view in which the upstream at index `at` runs `running(at)` requests. */
function aView(ownName: string, running: (at: number) => number): core.load.LoadView {
  const view = load.create(ownName);
  UPSTREAMS.forEach(({ name }, at) =>
    load.applyReport(
      view,
      name,
      {
        kind: 'load',
        running: running(at),
        waiting: 0,
        temperature: 'warm',
        weightVersion: 'v1',
      },
      fixtures.anInstant(),
    ),
  );
  return view;
}

function firstChoices(view: core.load.LoadView, count: number): readonly string[] {
  return Array.from(
    { length: count },
    () => load.orderByTwoChoices(view, UPSTREAMS)[0]?.name ?? '',
  );
}

suite('instances with the same reports do not all choose the least loaded upstream', () => {
  const choices = Array.from({ length: 9 }, (_, at) =>
    firstChoices(
      aView(`instance-${at + 1}`, (n) => n),
      1,
    ),
  ).flat();
  const onLeast = choices.filter((name) => name === 'engine-1').length;
  assert.ok(onLeast <= 4, `${onLeast} of 9 took the least loaded`);
});

suite('the most loaded upstream is first only if both draws return it', () => {
  const choices = firstChoices(
    aView('instance-1', (n) => n),
    1_300,
  );
  const onMost = choices.filter((name) => name === 'engine-13').length;
  assert.ok(onMost < 30, `${onMost} of 1300 took the most loaded`);
});

suite('own requests since the last report are counted', () => {
  const view = aView('instance-1', () => 1);
  load.recordStart(view, 'engine-1', fixtures.anInstant());
  assert.is(load.requestsAhead(view, fixtures.anUpstream({ name: 'engine-1' })), 2);
});

suite('every upstream appears in the order exactly once', () => {
  const ordered = load.orderByTwoChoices(
    aView('instance-1', () => 0),
    UPSTREAMS,
  );
  assert.is(new Set(ordered).size, UPSTREAMS.length);
  assert.is(ordered.length, UPSTREAMS.length);
});

suite.run();
