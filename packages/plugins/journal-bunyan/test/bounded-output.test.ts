import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

import * as boundedOutput from '../src/bounded-output.js';

/**
 * Guards against unbounded memory use when the process that reads the log stalls, and against lines
 * that are lost without a trace.
 */
const suite = uvu.suite('bounded output');

/** Creates an output whose reader consumes the buffered bytes only when `read` is called. */
function anOutput() {
  const state = { lines: [] as string[], writableLength: 0 };
  return {
    lines: state.lines,
    get writableLength() {
      return state.writableLength;
    },
    write(text: string) {
      state.lines.push(text);
      state.writableLength += text.length;
    },
    read() {
      state.writableLength = 0;
    },
  };
}

const LINE = `${'x'.repeat(999)}\n`;

function writeLines(output: boundedOutput.BoundedOutput, count: number): void {
  Array.from({ length: count }).forEach(() => output.write(LINE));
}

suite('buffers no more than the bound while the reader is stalled', () => {
  const stream = anOutput();
  writeLines(boundedOutput.create(stream, String), 10_000);
  assert.ok(stream.writableLength <= boundedOutput.MAX_BUFFERED_BYTES + LINE.length);
});

suite('reports the number of dropped lines when the reader resumes', () => {
  const stream = anOutput();
  const output = boundedOutput.create(stream, (lines) => `dropped ${lines}`);
  writeLines(output, 1_000);
  const written = stream.lines.length;
  stream.read();
  output.write(LINE);
  assert.equal(stream.lines.slice(written), [`dropped ${1_000 - written}`, LINE]);
});

suite('writes every line while the reader keeps up', () => {
  const stream = anOutput();
  const output = boundedOutput.create(stream, String);
  Array.from({ length: 1_000 }).forEach(() => {
    output.write(LINE);
    stream.read();
  });
  assert.is(stream.lines.length, 1_000);
});

suite.run();
