import * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('view of load');

const { load } = core;
const UPSTREAM = fixtures.anUpstream({ name: 'engine-1', slots: 8, coldSlots: 2 });

type Report = Extract<core.messages.EngineReport, { kind: 'load' }>;

function aReport(given: Partial<Report> = {}): Report {
  return {
    kind: 'load',
    running: 0,
    waiting: 0,
    temperature: 'warm',
    weightVersion: 'v1',
    ...given,
  };
}

/** A view that has seen reports, each at its time. */
function aView(reports: readonly { atMs: number; report: Partial<Report> | 'silent' }[]) {
  const view = load.create('instance-1');
  load.applyConfiguration(
    view,
    fixtures.aConfiguration({ upstreams: [UPSTREAM] }),
    fixtures.anInstant(),
  );
  reports.forEach(({ atMs, report }) => {
    const applied = report === 'silent' ? { kind: 'silent' as const } : aReport(report);
    load.applyReport(view, UPSTREAM.name, applied, fixtures.anInstant(atMs));
  });
  return view;
}

function canTake(view: core.load.LoadView, atMs: number): boolean {
  return load.canTake(view, UPSTREAM, fixtures.anInstant(atMs));
}

const REFUSED: core.messages.PlacementOutcome = {
  kind: 'failed',
  progress: { kind: 'vouched-not-run' },
};

suite('an upstream that has not reported gets nothing', () => {
  assert.is(canTake(aView([]), 0), false);
});

suite('a warm one takes work, a cold or silent one only with the right', () => {
  assert.is(canTake(aView([{ atMs: 0, report: {} }]), 1), true);
  assert.is(canTake(aView([{ atMs: 0, report: { temperature: 'cold' } }]), 1), false);
  const silent = aView([
    { atMs: 0, report: {} },
    { atMs: 1, report: 'silent' },
  ]);
  assert.is(canTake(silent, 2), false);
});

suite('a refusal puts "warm" in doubt until a report that was made later', () => {
  const view = aView([{ atMs: 0, report: {} }]);
  load.recordStart(view, UPSTREAM.name, fixtures.anInstant(100));
  load.recordEnd(view, UPSTREAM.name, REFUSED, fixtures.anInstant(200));
  load.applyReport(view, UPSTREAM.name, aReport(), fixtures.anInstant(300));
  assert.is(canTake(view, 300), false);
  const laterMs = 200 + load.rights.REPORT_LAG_MAX_MS;
  load.applyReport(view, UPSTREAM.name, aReport(), fixtures.anInstant(laterMs));
  assert.is(canTake(view, laterMs), true);
});

suite('peers hear of a refusal once, and do not pass it on', () => {
  const witness = aView([{ atMs: 0, report: {} }]);
  load.recordEnd(witness, UPSTREAM.name, REFUSED, fixtures.anInstant(10));
  const told = aView([{ atMs: 0, report: {} }]);
  const digest = load.buildDigest(witness, fixtures.anInstant(20));
  load.applyDigest(told, 'instance-2', digest, fixtures.anInstant(20));
  assert.is(canTake(told, 21), false);
  assert.is(load.buildDigest(told, fixtures.anInstant(30)), undefined);
});

const BROKEN = [undefined, null, 7, {}, { refusedBy: 'engine-1' }, { refusedBy: [7] }];
BROKEN.forEach((broken) => {
  suite(`a digest that does not have the shape is dropped: ${JSON.stringify(broken)}`, () => {
    const view = aView([{ atMs: 0, report: {} }]);
    load.applyDigest(view, 'instance-2', broken, fixtures.anInstant(1));
    assert.is(canTake(view, 2), true);
  });
});

suite('after a cold start the total grows only as reports show that it is carried', () => {
  const view = aView([
    { atMs: 0, report: { temperature: 'cold' } },
    { atMs: 1_000, report: {} },
  ]);
  const take = () => load.recordStart(view, UPSTREAM.name, fixtures.anInstant(1_100));
  take();
  take();
  assert.is(canTake(view, 1_100), false);
  load.applyReport(view, UPSTREAM.name, aReport({ running: 2 }), fixtures.anInstant(1_600));
  assert.is(canTake(view, 1_600), true);
});

suite.run();
