/** Measures the cost of configuration, relays and membership by fleet size, in simulated time. */
import * as registry from '../registry.js';
import type * as fleets from './fleet.js';
import * as measure from './measure.js';

/** The last entry is the design size. */
const SIZES: readonly fleets.Size[] = [
  { instances: 9, dataCentres: 4 },
  { instances: 38, dataCentres: 4 },
  { instances: 95, dataCentres: 4 },
  { instances: 190, dataCentres: 7 },
  { instances: 380, dataCentres: 14 },
];

const SLOPED = ['bytesPerS', 'relayBytesPerS', 'coreShare', 'heapMb', 'platformCallsPerS'] as const;

registry.register({
  name: 'control-plane',
  summary: 'configuration, relays and membership at 9 to 380 instances',
  run: async () => {
    const sizes = SIZES.map(measure.measure);
    const slopes = Object.fromEntries(SLOPED.map((name) => [name, slopeOf(sizes, name)]));
    return { lines: sizes.map(describe), data: { sizes, slopes } };
  },
});

/** Returns the least-squares growth per added instance over the sizes. */
function slopeOf(sizes: readonly measure.Found[], name: (typeof SLOPED)[number]): number {
  const mean = (numbers: readonly number[]) => numbers.reduce((a, b) => a + b, 0) / numbers.length;
  const meanX = mean(sizes.map((each) => each.instances));
  const meanY = mean(sizes.map((each) => each[name]));
  const both = sizes.map((each) => (each.instances - meanX) * (each[name] - meanY));
  const squares = sizes.map((each) => (each.instances - meanX) ** 2);
  return measure.round(mean(both) / mean(squares), 7);
}

function describe(found: measure.Found): string {
  return [
    `${found.instances} instances in ${found.dataCentres} data centres:`,
    `${found.bytesPerS} B/s (relay ${found.relayBytesPerS}),`,
    `${found.messagesPerS} messages/s (relay ${found.relayMessagesPerS}),`,
    `${found.coreShare} of a core, ${found.heapMb} MB heap,`,
    `${found.platformCallsPerS} platform calls/s;`,
    `in force p50 ${found.inForceP50Ms} ms, p100 ${found.inForceP100Ms} ms,`,
    `platform cut ${found.platformCutP100Ms} ms, after healing ${found.healedP100Ms} ms;`,
    `${found.reverted} reverted`,
  ].join(' ');
}
