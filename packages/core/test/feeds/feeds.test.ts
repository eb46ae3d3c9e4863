/**
 * Guards against report streams that stay closed, stay open to a removed source, or are opened
 * twice. Sources are added, removed or moved to another address, and streams end by themselves.
 */
import * as core from '@medlarweir/core';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('report streams');
const { decide, initial } = core.feeds;

function stateWithSources(addresses: Record<string, string>): core.feeds.State {
  return decide(initial, { kind: 'sources', addresses }).state;
}

suite('a change of sources opens streams to new ones and closes those to removed ones', () => {
  const step = decide(stateWithSources({ a: 'h:1', b: 'h:2' }), {
    kind: 'sources',
    addresses: { b: 'h:2', c: 'h:3' },
  });
  assert.equal(step.commands, [
    { kind: 'close', source: 'a' },
    { kind: 'open', source: 'c', address: 'h:3' },
  ]);
});

suite('a stream that ended is reopened after a delay', () => {
  const state = stateWithSources({ a: 'h:1' });
  const ended = decide(state, { kind: 'ended', source: 'a', address: 'h:1' });
  assert.equal(
    ended.commands.map(({ kind }) => kind),
    ['silent', 'retry-later'],
  );
  const retried = decide(ended.state, { kind: 'retry', source: 'a' });
  assert.equal(retried.commands, [{ kind: 'open', source: 'a', address: 'h:1' }]);
});

suite('the end of a stream that was replaced has no effect', () => {
  const state = stateWithSources({ a: 'h:2' });
  assert.equal(decide(state, { kind: 'ended', source: 'a', address: 'h:1' }).commands, []);
});

suite.run();
