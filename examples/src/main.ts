/** Entry point of `npm run demo`: runs the end-to-end scenario for both examples. */
import * as util from 'node:util';

import * as clusters from './cluster.js';
import * as deployments from './deployment.js';
import * as scenarios from './scenario.js';

const { values } = util.parseArgs({ options: { json: { type: 'boolean', default: false } } });

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

async function runExample(name: deployments.ExampleName): Promise<scenarios.Figures> {
  print(`== ${name}`);
  const cluster = await clusters.start(await deployments.load(name));
  const figures = await scenarios.run(cluster, print);
  const codes = await cluster.stop();
  print(`the instances drained and stopped, exit codes ${codes.join(', ')}`);
  if (codes.some((code) => code !== 0)) throw new Error('an instance did not exit with code 0');
  return figures;
}

/** Returns the worse value of the two examples for each figure. */
function worstOf(all: readonly scenarios.Figures[]): scenarios.Figures {
  const most = (pick: (figures: scenarios.Figures) => number) => Math.max(...all.map(pick));
  return {
    answersWhole: all.every(({ answersWhole }) => answersWhole),
    firstRecomputedShare: most((each) => each.firstRecomputedShare),
    returnRecomputedShare: most((each) => each.returnRecomputedShare),
    otherAccountReuse: most((each) => each.otherAccountReuse),
    bookingRuns: most((each) => each.bookingRuns),
    configGeneration: most((each) => each.configGeneration),
  };
}

function isSuccess(figures: scenarios.Figures): boolean {
  return (
    figures.answersWhole &&
    figures.returnRecomputedShare < figures.firstRecomputedShare &&
    figures.otherAccountReuse === 0 &&
    figures.bookingRuns === 1
  );
}

const all: scenarios.Figures[] = [];
for (const name of deployments.EXAMPLES) all.push(await runExample(name));
const figures = worstOf(all);
if (values.json) print(JSON.stringify(figures));
process.exit(isSuccess(figures) ? 0 : 1);
