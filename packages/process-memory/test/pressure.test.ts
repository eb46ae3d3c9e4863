/** Guards against collections that cost time in calm, and against buffers that wait while the machine is full. */
import * as processMemory from '@medlarweir/process-memory';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const { collector, pressure } = processMemory;

const suite = uvu.suite('collection of buffers that are out of use');

const MB = 1_024 * 1_024;
const WATERMARKS: processMemory.pressure.Watermarks = { youngBytes: 100 * MB, allBytes: 120 * MB };

/** A collector on a process of a set size, and the collections that it made. */
function aCollector(residentMb: number) {
  const made: string[] = [];
  const runtime: processMemory.collector.Runtime = {
    residentBytes: () => residentMb * MB,
    collect: () => undefined,
  };
  const onCollected = (collection: string) => made.push(collection);
  return { made, ...collector.create({ watermarks: WATERMARKS, onCollected, runtime }) };
}

suite('nothing is collected below the watermarks, however much is allocated', () => {
  const { made, allocated, kept } = aCollector(100);
  for (let at = 0; at < 100; at += 1) {
    allocated(MB);
    kept(MB);
  }
  assert.equal(made, []);
});

suite('between the watermarks, what came and went is collected', () => {
  const { made, allocated, kept } = aCollector(110);
  allocated(4 * MB);
  kept(20 * MB);
  assert.equal(made, ['young', 'young']);
});

suite('above both, all is collected once enough has been kept', () => {
  const { made, allocated, kept } = aCollector(130);
  allocated(40 * MB);
  kept(4 * MB);
  kept(4 * MB);
  allocated(4 * MB);
  assert.equal(made, ['young', 'young', 'all', 'young']);
});

suite('the resident memory is not measured for each allocation', () => {
  const measured = pressure.measure(pressure.allocate(pressure.initial, 4 * MB), 0, WATERMARKS);
  assert.not(pressure.isMeasurementDue(pressure.allocate(pressure.initial, 4 * MB - 1)));
  assert.not(pressure.isMeasurementDue(measured.state));
});

suite('the runtime can be asked for both collections', () => {
  const made: string[] = [];
  const { allocated, kept } = collector.create({
    watermarks: { youngBytes: 0, allBytes: 0 },
    onCollected: (collection) => made.push(collection),
  });
  allocated(4 * MB);
  kept(8 * MB);
  assert.equal(made, ['young', 'all']);
});

suite.run();
