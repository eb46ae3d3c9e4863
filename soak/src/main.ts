/** `npm run soak -- --seed N --seeds COUNT --minutes M --instances K`: prints what broke, and fails then. */
import * as util from 'node:util';

import * as play from './play.js';

const USAGE = `npm run soak -- [--seed N] [--seeds COUNT] [--minutes EACH] [--instances K] [--upstreams U] [--callers C]`;
const MS_PER_MINUTE = 60_000;

const { values } = util.parseArgs({
  options: {
    seed: { type: 'string', default: '1' },
    seeds: { type: 'string', default: '1' },
    minutes: { type: 'string', default: '1' },
    instances: { type: 'string', default: '3' },
    upstreams: { type: 'string', default: '4' },
    callers: { type: 'string', default: '40' },
    help: { type: 'boolean', default: false },
  },
});

const write = (line: string) => process.stdout.write(`${line}\n`);

function countOf(text: string): number {
  const value = Number(text);
  if (Number.isFinite(value) && value > 0) return value;
  throw new Error(`expected a positive number, found ${text}; ${USAGE}`);
}

async function playAll(): Promise<number> {
  const size = {
    instances: countOf(values.instances),
    upstreams: countOf(values.upstreams),
    callers: countOf(values.callers),
    durationMs: countOf(values.minutes) * MS_PER_MINUTE,
  };
  const first = countOf(values.seed);
  let violations = 0;
  for (let seed = first; seed < first + countOf(values.seeds); seed += 1) {
    const result = await play.play(seed, size);
    violations += result.violations.length;
    write(`seed ${seed}: ${summary(result)}`);
    result.violations.forEach((text) => write(`  ${text}`));
  }
  return violations;
}

function summary({ outcomes, runs, violations }: play.Result): string {
  const counts = new Map<string, number>();
  outcomes.forEach(({ end }) => {
    const name = end.kind === 'answered' ? String(end.status) : end.kind;
    counts.set(name, (counts.get(name) ?? 0) + 1);
  });
  const ends = [...counts].sort().map(([name, count]) => `${count} ${name}`);
  return `${outcomes.length} requests (${ends.join(', ')}), ${runs.size} ran, ${violations.length} violations`;
}

if (values.help) write(USAGE);
else process.exitCode = (await playAll()) > 0 ? 1 : 0;
