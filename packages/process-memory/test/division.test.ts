/** Guards against budgets that together do not fit into their machine, and against ones that refuse a single body. */
import * as processMemory from '@medlarweir/process-memory';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const { division } = processMemory;

const suite = uvu.suite('division of the memory');

const MB = 1_024 * 1_024;
/** The heap of the deploy file: 96 MB of old space, and the young space. */
const HEAP_BYTES = 108 * MB;

const ofMachine = (memoryMb: number, heapBytes = HEAP_BYTES) =>
  division.of({ memoryBytes: memoryMb * MB, heapBytes });

/** Of the users' sheets, in MB. */
const MACHINES: readonly number[] = [160, 178, 200, 202, 250, 350, 602];

suite('what is held for others leaves the process its own memory', () => {
  MACHINES.forEach((memoryMb) => {
    const { callersBytes, responsesBytes, relayedBytes } = ofMachine(memoryMb);
    assert.ok(callersBytes + responsesBytes + relayedBytes <= (memoryMb - 110) * MB);
  });
});

suite('the largest body, and the largest response, fit on any machine', () => {
  [64, 88, ...MACHINES].forEach((memoryMb) => {
    const { callersBytes, responsesBytes, relayedBytes } = ofMachine(memoryMb);
    assert.ok(callersBytes >= 8 * MB);
    assert.ok(Math.min(responsesBytes, relayedBytes) >= 4 * MB);
  });
});

suite('a larger machine holds no more for callers than its heap bears', () => {
  const { callersBytes } = ofMachine(602);
  assert.is(callersBytes, 32 * MB);
  assert.is(ofMachine(602, 60 * MB).callersBytes, 8 * MB);
});

suite('buffers are collected early before the machine is full', () => {
  MACHINES.forEach((memoryMb) => {
    const { youngBytes, allBytes } = ofMachine(memoryMb).watermarks;
    assert.ok(youngBytes < allBytes && allBytes < memoryMb * MB);
  });
});

suite('without a setting, the memory that the system tells counts', () => {
  const { watermarks } = division.ofProcess(0);
  assert.ok(Number.isFinite(watermarks.allBytes));
  assert.equal(division.ofProcess(178).watermarks, ofMachine(178).watermarks);
});

suite.run();
