import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

import * as knownRed from '../known-red.js';

const suite = uvu.suite('KNOWN-RED.txt');

function aBlock(test = 'suite > test'): string {
  return [
    `test: ${test}`,
    'command: npm test -- a',
    'seed: 7',
    'seen: a: b instead of c',
    'issue: 3',
  ].join('\n');
}

suite('a file that contains only comments has no entries', () => {
  assert.equal(knownRed.parse('# a remark\n\n# another\n'), []);
});

suite('entries are separated by blank lines, and a field text may contain colons', () => {
  const found = knownRed.parse(`# remark\n${aBlock('one > a')}\n\n\n${aBlock('two > b')}\n`);
  assert.equal(
    found.map(({ test }) => test),
    ['one > a', 'two > b'],
  );
  assert.is(found[0]?.seen, 'a: b instead of c');
});

['test', 'command', 'seed', 'seen', 'issue'].forEach((field) => {
  suite(`an entry without ${field} is refused with an error that names the field`, () => {
    const block = aBlock()
      .split('\n')
      .filter((line) => !line.startsWith(`${field}:`))
      .join('\n');
    assert.throws(() => knownRed.parse(block), new RegExp(`${field} missing`));
  });
});

suite('a file that does not exist has no entries', () => {
  assert.equal(knownRed.read('no-such-file.txt'), []);
});

suite.run();
