/** Datagrams about canary releases and silent upstreams must fit into packets and come back as they were. */
import * as peerNotes from '@medlarweir/plugin-peer-notes-udp';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('datagrams of canary releases and silent upstreams');

const KEY = 'key of instance-2';
const MAX_PACKET_BYTES = 1_472;
const keyOf = (name: string) => (name === 'instance-2' ? KEY : undefined);

/** Guards against evidence that is fragmented, or lost where an update is divided. */
suite('evidence of many kinds of requests is divided over datagrams that fit into packets', () => {
  const latencies = Array.from({ length: 31 }, (_, at) => (at < 5 ? 0 : 1_000 + at));
  const counts = { responses: 40_000, failures: 500, latencies };
  const cells = Object.fromEntries(
    Array.from({ length: 8 }, (_, at) => [`route-${at} 3`, { next: counts, previous: counts }]),
  );
  const inForce = { step: 2, isBad: false, ageMs: 12_345, instances: 30, stepInForce: 1 };
  const report = { service: 'desk', to: 'v2', ...inForce, previousInFlight: 7, cells };
  const update = { from: 'instance-2', scope: 'group' as const, reports: [report] };
  const pieces = peerNotes.canaryRows.split(update);
  const decoded = pieces.map((piece) => {
    const bytes = peerNotes.datagram.encode({ kind: 'canary', update: piece }, KEY);
    assert.ok(bytes.length <= MAX_PACKET_BYTES, `${bytes.length} bytes`);
    return peerNotes.datagram.decode(bytes, keyOf);
  });
  const told = decoded.flatMap((each) => (each?.kind === 'canary' ? each.update.reports : []));
  assert.equal(Object.assign({}, ...told.map((each) => each.cells)), cells);
  assert.ok(told.every((each) => each.ageMs === 12_345 && each.previousInFlight === 7));
});

suite('thirty silent upstreams of three data centres come back as they were told', () => {
  const reporters = new Map([
    ['amman', 2],
    ['zarqa', 1],
    ['irbid', 2],
  ]);
  const rows = Array.from({ length: 30 }, (_, at) => ({ upstream: `i-7f3a91c${at}`, reporters }));
  const update = { from: 'instance-2', scope: 'fleet' as const, rows };
  const bytes = peerNotes.datagram.encode({ kind: 'silence', update }, KEY);
  const decoded = peerNotes.datagram.decode(bytes, keyOf);
  assert.equal(decoded, { kind: 'silence', update });
  assert.ok(bytes.length < 2 * MAX_PACKET_BYTES, `${bytes.length} bytes`);
});

suite.run();
