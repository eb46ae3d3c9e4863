/** Guards against heads that the HTTP parser of some processors lets through. */
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

import * as httpFields from '../src/index.js';

const suite = uvu.suite('heads of requests');

function aHead(changes: Partial<httpFields.Head> = {}): httpFields.Head {
  return {
    httpVersion: '1.1',
    target: '/a?b=c',
    rawHeaders: ['Host', 'a.example', 'X-Note', 'a\tb \u00e9'],
    ...changes,
  };
}

const withHeader = (name: string, value: string) =>
  aHead({ rawHeaders: ['Host', 'a', name, value] });

const INVALID: readonly (readonly [string, httpFields.Head])[] = [
  ['an empty name', withHeader('', 'x')],
  ['a space before the colon', withHeader('x ', 'y')],
  ['a tab before the colon', withHeader('x\t', 'y')],
  ['a folded line', withHeader(' x', 'y')],
  ['a name with a delimiter', withHeader('x(y)', 'z')],
  ['a name with a byte beyond ASCII', withHeader('x\u00e9', 'y')],
  ['NUL in a name', withHeader('x\u0000', 'y')],
  ['NUL in a value', withHeader('x', 'y\u0000z')],
  ['a carriage return in a value', withHeader('x', 'y\rz')],
  ['a line feed in a value', withHeader('x', 'y\nz: 1')],
  ['DEL in a value', withHeader('x', 'y\u007fz')],
  ['a character beyond one byte in a value', withHeader('x', '\u0141')],
  ['no host', aHead({ rawHeaders: [] })],
  ['two hosts', withHeader('host', 'b')],
  ['an empty target', aHead({ target: '' })],
  ['a space in the target', aHead({ target: '/a b' })],
  ['a tab in the target', aHead({ target: '/a\tb' })],
  ['NUL in the target', aHead({ target: '/a\u0000b' })],
  ['a byte beyond ASCII in the target', aHead({ target: '/a\u00e9b' })],
];

suite('a proper head passes', () => {
  assert.ok(httpFields.check(aHead()).isOk());
  assert.ok(httpFields.check(aHead({ httpVersion: '1.0', rawHeaders: [] })).isOk());
});

INVALID.forEach(([fault, head]) => {
  suite(`${fault} is refused`, () => {
    assert.ok(httpFields.check(head).isErr());
  });
});

suite.run();
