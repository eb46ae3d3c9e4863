/** The ledger of client accounts: bounded, decaying, and right about work that did not run. */
import * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
import * as fc from 'fast-check';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('shares: ledger');
const { ledger: ledgers, decayed, updates } = core.shares;

const SERVICE = 'models';
const at = fixtures.anInstant;

function charged(ledger: core.shares.Ledger, account: string, work: number, atMs = 0): void {
  ledgers.charge(ledger, `r-${account}-${atMs}`, { service: SERVICE, account, work }, at(atMs));
}

function usedBy(ledger: core.shares.Ledger, account: string, atMs: number): number {
  return ledgers.ownAt(ledger, SERVICE, atMs).get(account)?.used ?? 0;
}

/** What `from` tells about its own work. */
function told(ledger: core.shares.Ledger, from: string, atMs: number, sharing = 'through-reader') {
  const sender = {
    instance: from,
    incarnation: 'life-1',
    sharing: sharing as core.fleet.peerWork.Sharing,
  };
  return updates.take(ledger, sender, at(atMs));
}

suite('work counts half after the half-life, and nothing after ten of them', () => {
  const ledger = ledgers.create();
  charged(ledger, 'a', 100);
  assert.is(usedBy(ledger, 'a', decayed.HALF_LIFE_MS), 50);
  ledgers.expire(ledger, at(decayed.FORGET_AFTER_MS));
  assert.is(ledger.own.size, 0);
});

suite('an attempt that did not run costs its account nothing', () => {
  const ledger = ledgers.create();
  charged(ledger, 'a', 100, 1);
  ledgers.settle(ledger, 'r-a-1', 0, at(2_000));
  assert.ok(usedBy(ledger, 'a', 2_000) < 1e-9);
  ledgers.settle(ledger, 'r-a-1', 0, at(2_000));
  assert.is(ledger.charges.size, 0);
});

suite('generated tokens and the true time of plain work are charged', () => {
  const ledger = ledgers.create();
  charged(ledger, 'a', 100);
  ledgers.recordToken(ledger, 'r-a-0', at(0));
  assert.is(usedBy(ledger, 'a', 0), 100 + ledgers.GENERATED_TOKEN_WORK);
  ledgers.settle(ledger, 'r-a-0', 160, at(0));
  assert.is(usedBy(ledger, 'a', 0), 160 + ledgers.GENERATED_TOKEN_WORK);
});

/** Guards against memory that a client with very many accounts could fill. */
suite('the number of accounts is bounded, and the largest are kept', () => {
  const ledger = ledgers.create();
  charged(ledger, 'large', 1_000_000);
  Array.from({ length: 2 * ledgers.MAX_ACCOUNTS }).forEach((_, n) =>
    charged(ledger, `a-${n}`, n + 1),
  );
  assert.is(ledger.own.get(SERVICE)?.size, ledgers.MAX_ACCOUNTS);
  assert.ok(usedBy(ledger, 'large', 0) > 0);
});

suite('a burst at another instance counts, and is forgotten as it ages', () => {
  const [own, peer] = [ledgers.create(), ledgers.create()];
  charged(peer, 'burst', 1_000);
  charged(peer, 'b', 200);
  charged(own, 'c', 200);
  told(peer, 'i-2', 0).forEach((update) => updates.receive(own, update, at(400)));
  assert.ok(ledgers.overuseOf(own, SERVICE, 'burst', at(400)) > 0.5);
  assert.is(ledgers.overuseOf(own, SERVICE, 'c', at(400)), 0);
  ledgers.expire(own, at(400 + decayed.FORGET_AFTER_MS));
  assert.is(own.reports.size, 0);
});

/** Guards against shares that wait for peers, or count what they said for ever. */
suite('with silent peers, shares follow from what is known here', () => {
  const ledger = ledgers.create();
  charged(ledger, 'burst', 1_000);
  charged(ledger, 'b', 100);
  charged(ledger, 'c', 100);
  assert.ok(ledgers.overuseOf(ledger, SERVICE, 'burst', at(100)) > 0);
  assert.is(ledgers.overuseOf(ledger, SERVICE, 'b', at(100)), 0);
});

suite('an update that is late, repeated or reordered changes nothing', () => {
  const [own, peer] = [ledgers.create(), ledgers.create()];
  charged(peer, 'a', 10);
  const [first] = told(peer, 'i-2', 0);
  charged(peer, 'a', 30, 1_000);
  const [second] = told(peer, 'i-2', 1_000);
  if (!first || !second) throw new Error('no update');
  [second, first, second].forEach((update) => updates.receive(own, update, at(1_100)));
  const used = own.reports.get('i-2')?.services.get(SERVICE)?.accounts[0]?.amounts.used ?? 0;
  assert.ok(used > 30);
});

suite('an update lists the largest accounts, and the others as a sum', () => {
  const ledger = ledgers.create();
  Array.from({ length: 200 }).forEach((_, n) => charged(ledger, `a-${n}`, n + 1));
  const [update] = told(ledger, 'i-1', 0);
  const [usage] = update?.services ?? [];
  assert.is(usage?.accounts.length, 32);
  assert.is(usage?.accounts[0]?.account, 'a-199');
  assert.is(usage?.rest.accounts, 168);
  const listed = usage?.accounts.reduce((sum, { amounts }) => sum + amounts.used, 0) ?? 0;
  assert.is(listed + (usage?.rest.used ?? 0), (200 * 201) / 2);
  assert.equal(told(ledger, 'i-1', 500), []);
});

/** Guards against work that is counted twice on its way through readers. */
suite('through readers, the work of all instances reaches each, and is counted once', () => {
  const [follower, reader, far, farReader] = [0, 1, 2, 3].map(() => ledgers.create());
  if (!follower || !reader || !far || !farReader) throw new Error('no ledger');
  charged(follower, 'a', 100);
  charged(far, 'b', 300);
  const pass = (from: core.shares.Ledger, name: string, to: core.shares.Ledger, scope: string) =>
    told(
      from,
      name,
      from.sentAtMs === -Infinity ? 0 : 1_000,
      /reader/.test(name) ? 'as-reader' : undefined,
    )
      .filter((update) => update.scope === scope)
      .forEach((update) => updates.receive(to, update, at(0)));
  pass(follower, 'follower', reader, 'own');
  pass(far, 'far', farReader, 'own');
  pass(farReader, 'far-reader', reader, 'group');
  pass(reader, 'reader', follower, 'fleet');
  const { others } = ledgers.viewOf(follower, SERVICE, at(0));
  assert.is(others.get('b')?.used, 300);
  assert.is(others.get('a')?.used, 0);
});

suite('shares are finite and not negative whatever peers tell and clocks say', () => {
  const amount = fc.double({ min: 0, max: Number.MAX_SAFE_INTEGER, noNaN: true });
  const usage = fc.record({
    account: fc.constantFrom('a', 'b', 'c'),
    amounts: fc.record({ used: amount, refused: amount }),
  });
  const heard = fc.record({
    atMs: fc.integer({ min: -10_000, max: 60_000 }),
    accounts: fc.array(usage),
  });
  const property = fc.property(fc.array(heard, { maxLength: 10 }), fc.integer(), (all, nowMs) => {
    const ledger = ledgers.create();
    charged(ledger, 'a', 50);
    all.forEach(({ atMs, accounts }, n) => {
      const services = [{ service: SERVICE, accounts, rest: { accounts: n, used: n, refused: 0 } }];
      const update = {
        from: `i-${n}`,
        scope: 'own' as const,
        incarnation: '',
        sentAtMs: atMs,
        services,
      };
      updates.receive(ledger, update, at(atMs));
    });
    const overuse = ledgers.overuseOf(ledger, SERVICE, 'a', at(nowMs));
    assert.ok(overuse >= 0 && Number.isFinite(overuse));
  });
  fc.assert(property, fixtures.seeded());
});

suite.run();
