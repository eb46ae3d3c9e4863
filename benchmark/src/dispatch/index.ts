/** `dispatch`: cost of requests that take effect once, grouped or not, and during an outage. */
import * as registry from '../registry.js';
import * as cuts from './cuts.js';
import * as load from './load.js';

const RATES_PER_S: readonly number[] = [1, 10, 100, 350];
const POLICIES: readonly load.Policy[] = ['grouped', 'own-instance', 'single'];
const INSTANCES = 9;
const LASTS_S = 12;
const OUTAGE_S = 60;

function measure(given: Partial<load.Load>): load.Figures {
  return load.run({
    policy: 'grouped',
    keys: 'timed',
    perS: 350,
    lastsS: LASTS_S,
    instances: INSTANCES,
    outageS: 0,
    ...given,
  });
}

function run(): Promise<registry.Report> {
  const rates = RATES_PER_S.flatMap((perS) => POLICIES.map((policy) => measure({ policy, perS })));
  const hashed = measure({ keys: 'hashed' });
  const outage = measure({ perS: 35, lastsS: 180, outageS: OUTAGE_S });
  const all = [...rates, hashed, outage];
  const target = rates.find(({ policy, perS }) => policy === 'grouped' && perS === 350);
  const cutPrompts = cuts.measure();
  const data = {
    doubleRuns: sum(all, ({ doubleGrants }) => doubleGrants),
    falseNotRun: sum(cutPrompts, ({ falseNotRun }) => falseNotRun),
    incompleteAnswers: sum(cutPrompts, ({ incompleteAnswers }) => incompleteAnswers),
    writesPerClaim: target?.writesPerClaim,
    addedDelayP95Ms: target?.addedDelayP95Ms,
    outage: {
      seconds: OUTAGE_S,
      requests: outage.requests,
      shareServed: outage.granted / outage.requests,
      shareRefusedTruthfully: outage.refused / outage.requests,
      refusalP95Ms: outage.refusalP95Ms,
    },
    rates,
    hashed,
    cutPrompts,
  };
  return Promise.resolve({ lines: [HEADING, ...all.map(line), ...cutPrompts.map(cutLine)], data });
}

function sum<Each>(all: readonly Each[], pick: (each: Each) => number): number {
  return all.reduce((so, each) => so + pick(each), 0);
}

function cutLine({ cut, answeredWhole, falseNotRun }: cuts.CutFigures): string {
  return `prompts cut ${cut}: ${answeredWhole} answered whole, ${falseNotRun} false "not run"`;
}

const HEADING =
  'policy        keys    per s  writes/claim  reads/claim  digests/claim  bytes/claim  p50 ms  p95 ms  refused';

function line(figures: load.Figures): string {
  return [
    figures.policy.padEnd(13),
    figures.keys.padEnd(7),
    String(figures.perS).padStart(5),
    String(figures.writesPerClaim).padStart(13),
    String(figures.readsPerClaim).padStart(12),
    String(figures.digestsPerClaim).padStart(14),
    String(figures.bytesPerClaim).padStart(12),
    String(figures.addedDelayP50Ms).padStart(7),
    String(figures.addedDelayP95Ms).padStart(7),
    String(figures.refused).padStart(8),
  ].join(' ');
}

registry.register({ name: 'dispatch', summary: 'claims: writes, added delay, outage', run });
