// Guards against new work for an upstream that is cold, silent or suspected of being cold: an
// outdated `warm` report is believed after a refusal, a suspicion circulates between instances, or
// the limit after a cold start grows before reports show that it is in use.
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

/** A view to which each report was applied at its time. */
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

suite('an upstream that has not reported gets no work', () => {
  assert.is(canTake(aView([]), 0), false);
});

suite('a warm upstream gets work; a cold or silent one does not without the right', () => {
  assert.is(canTake(aView([{ atMs: 0, report: {} }]), 1), true);
  assert.is(canTake(aView([{ atMs: 0, report: { temperature: 'cold' } }]), 1), false);
  const silent = aView([
    { atMs: 0, report: {} },
    { atMs: 1, report: 'silent' },
  ]);
  assert.is(canTake(silent, 2), false);
});

suite('after a refusal, "warm" is not trusted until a report that was measured later', () => {
  const view = aView([{ atMs: 0, report: {} }]);
  load.recordStart(view, UPSTREAM.name, fixtures.anInstant(100));
  load.recordEnd(view, UPSTREAM.name, REFUSED, fixtures.anInstant(200));
  load.applyReport(view, UPSTREAM.name, aReport(), fixtures.anInstant(300));
  assert.is(canTake(view, 300), false);
  const laterMs = 200 + load.rights.REPORT_LAG_MAX_MS;
  load.applyReport(view, UPSTREAM.name, aReport(), fixtures.anInstant(laterMs));
  assert.is(canTake(view, laterMs), true);
});

suite('a peer update about a refusal is applied and not passed on', () => {
  const sender = aView([{ atMs: 0, report: {} }]);
  load.recordEnd(sender, UPSTREAM.name, REFUSED, fixtures.anInstant(10));
  const recipient = aView([{ atMs: 0, report: {} }]);
  const digest = load.buildDigest(sender, fixtures.anInstant(20));
  load.applyDigest(recipient, 'instance-2', digest, fixtures.anInstant(20));
  assert.is(canTake(recipient, 21), false);
  assert.is(load.buildDigest(recipient, fixtures.anInstant(30)), undefined);
});

const MALFORMED_DIGESTS = [undefined, null, 7, {}, { refusedBy: 'engine-1' }, { refusedBy: [7] }];
MALFORMED_DIGESTS.forEach((malformed) => {
  suite(`a digest that does not match the schema is dropped: ${JSON.stringify(malformed)}`, () => {
    const view = aView([{ atMs: 0, report: {} }]);
    load.applyDigest(view, 'instance-2', malformed, fixtures.anInstant(1));
    assert.is(canTake(view, 2), true);
  });
});

suite('after a cold start, the limit grows only when reports show that it is in use', () => {
  const view = aView([
    { atMs: 0, report: { temperature: 'cold' } },
    { atMs: 1_000, report: {} },
  ]);
  const placeRequest = () => load.recordStart(view, UPSTREAM.name, fixtures.anInstant(1_100));
  placeRequest();
  placeRequest();
  assert.is(canTake(view, 1_100), false);
  load.applyReport(view, UPSTREAM.name, aReport({ running: 2 }), fixtures.anInstant(1_600));
  assert.is(canTake(view, 1_600), true);
});

suite.run();
