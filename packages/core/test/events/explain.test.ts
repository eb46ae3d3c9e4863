/**
 * Guards against explanations that omit the events of a request's upstreams, include those of other
 * requests, or fail on journal lines that a log collector prefixed or truncated.
 */
import * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
import * as fastCheck from 'fast-check';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('explaining a request');

const START_MS = Date.UTC(2026, 11, 4);

function aLine(atMs: number, event: core.events.EventName, details: object): string {
  const { number, text } = core.events.catalogue[event];
  const time = new Date(START_MS + atMs).toISOString();
  return JSON.stringify({ time, instance: 'instance-1', event: number, msg: text, ...details });
}

/** The lines of a request whose upstream did not answer, among lines of other requests. */
const JOURNAL = [
  aLine(0, 'dependencyLost', { dependency: 'store', reason: 'old' }),
  aLine(20_000, 'upstreamChanged', { upstream: 'u-1', text: 'does not answer' }),
  aLine(20_100, 'upstreamChanged', { upstream: 'u-2', text: 'answers again' }),
  aLine(21_000, 'attemptFailed', { requestId: 'r-1', upstream: 'u-1', reason: 'connection-lost' }),
  aLine(21_010, 'requestFinished', { requestId: 'r-2', upstreams: ['u-1'], tookMs: 10 }),
  aLine(21_020, 'requestFinished', { requestId: 'r-1', upstreams: ['u-1'], tookMs: 50 }),
  aLine(30_000, 'dependencyBack', { dependency: 'store' }),
];

function explained(id: string, journal = JOURNAL) {
  const lines = journal.flatMap((text) => core.events.parseLine(text) ?? []);
  return core.events.explain(lines, id).map(({ line, about }) => [line.event, about]);
}

suite('the explanation holds the lines of the request and of its upstream, ordered by time', () => {
  const { upstreamChanged, attemptFailed, requestFinished } = core.events.catalogue;
  assert.equal(explained('r-1'), [
    [upstreamChanged.number, 'upstream'],
    [attemptFailed.number, 'request'],
    [requestFinished.number, 'request'],
  ]);
});

/** A request refused at one instance for a verdict that another one reached a minute before. */
const QUARANTINE_JOURNAL = [
  aLine(0, 'crashSuspected', { requestId: 'r-7', upstream: 'u-7', model: 'm', parts: ['a1'] }),
  aLine(10, 'crashSuspected', { requestId: 'r-8', upstream: 'u-8', model: 'm', parts: ['b2'] }),
  aLine(20, 'partCondemned', {
    instance: 'instance-2',
    ...{ model: 'm', part: 'a1', clientAccounts: ['a'], upstreams: ['u-7'], requests: ['r-7'] },
  }),
  aLine(30, 'partCondemned', { model: 'm', part: 'a', upstreams: [], requests: [] }),
  aLine(40, 'partCondemned', { model: 'other', part: 'a1', upstreams: [], requests: [] }),
  aLine(60_000, 'requestFinished', {
    requestId: 'r-9',
    result: 'promptQuarantined',
    reason: 'part a1 of m is in quarantine after crashes of u-7; the request was not run',
  }),
  aLine(70_000, 'partCondemned', { model: 'm', part: 'a1', upstreams: [], requests: [] }),
];

/** Guards against a refusal that cannot be traced to the crashes behind it. */
suite(
  'a request refused for a quarantined part is explained by the verdict and its evidence',
  () => {
    const { crashSuspected, partCondemned, requestFinished } = core.events.catalogue;
    assert.equal(explained('r-9', QUARANTINE_JOURNAL), [
      [crashSuspected.number, 'quarantine'],
      [partCondemned.number, 'quarantine'],
      [requestFinished.number, 'request'],
    ]);
  },
);

suite('a request that no line names has an empty explanation', () => {
  assert.equal(explained('r-3'), []);
});

suite('a log collector’s prefix is ignored, and text that is not a record is skipped', () => {
  const [first = ''] = JOURNAL;
  assert.ok(core.events.parseLine(` 12.5 instance-1 ${first}`));
  fastCheck.assert(
    fastCheck.property(fixtures.anyText(), (text) => {
      core.events.parseLine(text);
    }),
    fixtures.seeded(500),
  );
});

suite.run();
