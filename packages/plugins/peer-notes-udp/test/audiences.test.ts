/** Guards against members that news about quarantined parts never reach. */
import type * as core from '@medlarweir/core';
import * as peerNotes from '@medlarweir/plugin-peer-notes-udp';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('audiences of updates about quarantined parts');

function aMember(at: number): core.messages.PeerEndpoint {
  return {
    name: `instance-${at}`,
    dataCentre: `dc-${at % 3}`,
    notes: `10.0.0.1:${at}`,
    callers: undefined,
    processorShare: 0,
    signingKey: 'key',
  };
}

function membersOf(count: number): readonly core.messages.PeerEndpoint[] {
  return Array.from({ length: count }, (_, at) => aMember(at));
}

const { ofQuarantine } = peerNotes.audiences;

suite('all: every other member with an address, however many there are', () => {
  const members = [...membersOf(195), { ...aMember(195), notes: undefined }];
  const audience = ofQuarantine({ members, rounds: 0 }, 'instance-0', 'all');
  assert.equal(
    audience,
    members.slice(1, -1).map(({ name }) => name),
  );
});

suite('some: three each time, and all of them in turn', () => {
  const members = membersOf(20);
  const rounds = Array.from({ length: 7 }, (_, at) => at);
  const audiences = rounds.map((at) => ofQuarantine({ members, rounds: at }, 'instance-0', 'some'));
  audiences.forEach((each) => assert.is(new Set(each).size, 3));
  assert.is(new Set(audiences.flat()).size, members.length - 1);
  assert.not(audiences.flat().includes('instance-0'));
});

suite('some: with few members, each of them once', () => {
  const audience = ofQuarantine({ members: membersOf(3), rounds: 5 }, 'instance-0', 'some');
  assert.equal([...audience].sort(), ['instance-1', 'instance-2']);
});

suite.run();
