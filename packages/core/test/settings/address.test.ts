import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

import * as address from '../../src/settings/address.js';

const suite = uvu.suite('addresses');

const USABLE = ['10.0.0.1:1', 'localhost:65535', 'store_1.example:80', 'A-b.c.:443'];
const UNUSABLE = [
  ...['10.0.0.1:65536', '10.0.0.1:99999', '10.0.0.1:-1', '10.0.0.1:x', '10.0.0.1:', '10.0.0.1'],
  ...['10.0.0.999:80', '1.2.3.4.5:80', 'a/b:80', 'a?b:80', 'a#b:80', 'a@b:80', 'a b:80', '%:80'],
  ...['[:80', ':80', '-a:80', 'xn--a:80', '\u0000a:80', `${'a'.repeat(254)}:80`, '1:2:3'],
];

/** Guards against an address at which opening a connection throws. */
suite('an address outside the range of ports, or without a valid host, is refused', () => {
  USABLE.forEach((text) => assert.ok(address.hostAndPort.safeParse(text).success, text));
  UNUSABLE.forEach((text) => {
    assert.not.ok(address.hostAndPort.safeParse(text).success, text);
    assert.not.ok(address.hostAndAnyPort.safeParse(text).success, text);
  });
});

suite('only an address to listen on may have port 0', () => {
  assert.ok(address.hostAndAnyPort.safeParse('127.0.0.1:0').success);
  assert.not.ok(address.hostAndPort.safeParse('127.0.0.1:0').success);
});

suite.run();
