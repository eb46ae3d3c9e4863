import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

import * as boundedOutput from '../src/bounded-output.js';

const suite = uvu.suite('bounded output');

/** An output whose reader takes bytes only when the test says so. */
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

suite('keeps no more than its bound for a reader that has stalled', () => {
  const reader = anOutput();
  writeLines(boundedOutput.create(reader, String), 10_000);
  assert.ok(reader.writableLength <= boundedOutput.MAX_BUFFERED_BYTES + LINE.length);
});

suite('tells how many lines were dropped once the reader is back', () => {
  const reader = anOutput();
  const output = boundedOutput.create(reader, (lines) => `dropped ${lines}`);
  writeLines(output, 1_000);
  const written = reader.lines.length;
  reader.read();
  output.write(LINE);
  assert.equal(reader.lines.slice(written), [`dropped ${1_000 - written}`, LINE]);
});

suite('writes every line while the reader keeps up', () => {
  const reader = anOutput();
  const output = boundedOutput.create(reader, String);
  Array.from({ length: 1_000 }).forEach(() => {
    output.write(LINE);
    reader.read();
  });
  assert.is(reader.lines.length, 1_000);
});

suite.run();
