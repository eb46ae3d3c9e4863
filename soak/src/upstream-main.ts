/** An upstream as a process: `upstream-main.js ID`. Writes a line when it listens, and for each run. */
import * as standIns from '@medlarweir/stand-ins';

/** It refuses what comes in the first part of each period, and says so. */
const PERIOD_MS = 1_000;
const REFUSING_MS = 100;
/** How it writes the refusals of a period once more. */
const COPYINGS: readonly standIns.replica.Copying[] = [
  'none',
  'before-next',
  'split',
  'at-once',
  'when-idle',
];

const write = (line: object) => process.stdout.write(`${JSON.stringify(line)}\n`);

const [, , id = ''] = process.argv;
const upstream = await standIns.replica.start({
  id,
  onRan: ({ requestId }) => write({ ran: requestId }),
});
const periods = { begun: 0 };
setInterval(() => {
  periods.begun += 1;
  upstream.setCopying(COPYINGS[periods.begun % COPYINGS.length] ?? 'none');
  upstream.setFault('not-executed');
  setTimeout(() => upstream.setFault('none'), REFUSING_MS);
}, PERIOD_MS);
write({ listening: upstream.address });
