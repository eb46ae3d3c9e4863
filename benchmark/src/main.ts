/** `npm run bench -- NAME [--json]`: runs one benchmark; `--json` adds its data as the last line. */
import './benchmarks.js';

import * as util from 'node:util';

import * as registry from './registry.js';

const { values, positionals } = util.parseArgs({
  allowPositionals: true,
  options: { json: { type: 'boolean', default: false } },
});
const benchmark = registry.find(positionals[0] ?? '');
if (benchmark) {
  const { lines, data } = await benchmark.run();
  lines.forEach((line) => process.stdout.write(`${line}\n`));
  if (values.json) process.stdout.write(`${JSON.stringify(data)}\n`);
  process.exit(0);
}
const names = registry.all().map(({ name, summary }) => `  ${name.padEnd(18)} ${summary}`);
process.stderr.write(`npm run bench -- NAME [--json]\n${names.join('\n')}\n`);
process.exit(2);
