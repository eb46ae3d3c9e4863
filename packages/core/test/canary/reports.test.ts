/** What instances tell each other of a release, directly and through readers. */
import * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('canary: reports');
const { canaryWorld } = fixtures;

type State = core.canary.State;
type Message = core.messages.CanaryMessage;

const MEMBERS = ['instance-1', 'instance-2', 'instance-3'];

function decided(state: State, message: Message, nowMs = 0): core.canary.Step {
  return core.canary.decide(state, message, fixtures.anInstant(nowMs));
}

/** An instance that knows a running release, with one response of each version. */
function anInstance(sharing: State['sharing']): State {
  const options = core.leases.defaultOptions('leases/canary', 'instance-1', 'life-1');
  const order: core.canary.Order = {
    name: 'desk',
    service: 'desk',
    to: 'v2',
    durationMs: 60_000,
    status: { state: 'running', to: 'v2' },
    version: 1,
  };
  const read = {
    orders: [order],
    removed: [],
    unreadable: [],
    isSnapshot: true,
    isFromCopy: false,
  };
  const messages: readonly Message[] = [
    { type: 'canary.sharing-changed', sharing },
    { type: 'canary.members-changed', names: MEMBERS },
    { type: 'canary.orders-read', ...read },
    ...['v1', 'v2'].map((version): Message => aSample(version)),
  ];
  return messages.reduce(
    (state, message) => decided(state, message).state,
    core.canary.initial('instance-1', options, canaryWorld.BOUNDS),
  );
}

function aSample(softwareVersion: string): Message {
  const sample = { service: 'desk', softwareVersion, route: 'search', promptTokens: 0 };
  return { type: 'canary.attempt-ended', sample: { ...sample, isFailure: false, latencyMs: 40 } };
}

function aReport(changed: Partial<core.canary.Report> = {}): core.canary.Report {
  const counts = { responses: 5, failures: 1, latencies: [4] };
  return {
    service: 'desk',
    to: 'v2',
    step: 0,
    isBad: false,
    ageMs: 10_000,
    instances: 1,
    stepInForce: 0,
    previousInFlight: 2,
    cells: { search: { next: counts, previous: counts } },
    ...changed,
  };
}

function received(
  state: State,
  from: string,
  scope: core.canary.Update['scope'],
  report = aReport(),
): State {
  const update = { from, scope, reports: [report] };
  return decided(state, { type: 'canary.update-received', update }).state;
}

type Published = Partial<Record<core.canary.Update['scope'], core.canary.Report | undefined>>;

function published(state: State): Published {
  const { commands } = decided(state, { type: 'canary.tick' }, 500);
  return Object.fromEntries(
    commands.flatMap((each) =>
      each.kind === 'publish' ? [[each.scope, each.update.reports[0]] as const] : [],
    ),
  );
}

const responses = (report: core.canary.Report | undefined) =>
  core.canary.evidence.total(report?.cells ?? {}, 'next').responses;

/** Guards against evidence that counts twice: from its sender and from its reader. */
suite('a reader adds up its followers for other readers, and tells followers no evidence', () => {
  const reader = received(anInstance('as-reader'), 'instance-2', 'own');
  const both = received(reader, 'instance-9', 'group', aReport({ instances: 30 }));
  const { group, fleet } = published(both);
  assert.is(responses(group), 6, 'its own and its follower’s');
  assert.is(group?.instances, 2);
  assert.is(group?.previousInFlight, 2);
  assert.is(responses(fleet), 0);
});

suite('a follower tells its own responses once and evaluates nothing', () => {
  const follower = received(anInstance('through-reader'), 'instance-2', 'fleet');
  assert.is(responses(published(follower).own), 1);
  const { state, commands } = decided(follower, { type: 'canary.tick' }, 500);
  assert.is(responses(published(state).own), 0);
  assert.not(commands.some(({ kind }) => kind === 'lease-read'));
});

/** Guards against updates that come late and take a step back, or bring a bad version back. */
suite('steps, verdicts and the age of an order only rise', () => {
  const told = received(
    anInstance('with-all'),
    'instance-2',
    'own',
    aReport({ step: 3, isBad: true }),
  );
  const late = received(told, 'instance-3', 'own', aReport({ step: 1, ageMs: 5 }));
  const report = published(late).own;
  assert.is(report?.step, 3);
  assert.is(report?.isBad, true);
  assert.ok((report?.ageMs ?? 0) >= 10_000);
});

suite('a report on another version says nothing', () => {
  const other = received(
    anInstance('with-all'),
    'instance-2',
    'own',
    aReport({ to: 'v3', step: 4 }),
  );
  assert.is(published(other).own?.step, 0);
});

suite.run();
