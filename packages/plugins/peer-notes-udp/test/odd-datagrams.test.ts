import * as crypto from 'node:crypto';

import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

import * as peerNotes from '../src/index.js';

const suite = uvu.suite('odd datagrams');

const KEY = 'ab';

function signed(body: string): Buffer {
  const bytes = Buffer.from(body);
  const digest = crypto.createHmac('sha256', KEY).update(bytes).digest();
  return Buffer.concat([digest.subarray(0, 16), bytes]);
}

function changesWith(value: string): string {
  return `["changes","peer","servers",1,2,[["servers/i-1",2,${value},""]],[]]`;
}

/** Guards against a relayed entry that overflows the stack of each instance that writes it again. */
suite('a relayed value that is nested too deeply can be passed on', () => {
  [100, 10_000, 30_000].forEach((depth) => {
    const value = '['.repeat(depth) + ']'.repeat(depth);
    const decoded = peerNotes.datagram.decode(signed(changesWith(value)), () => KEY);
    assert.is(decoded?.kind, 'changes');
    if (decoded) assert.ok(peerNotes.datagram.encode(decoded, KEY).length < 1_000);
  });
});

suite.run();
