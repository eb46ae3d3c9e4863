import * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
import * as fastCheck from 'fast-check';
import * as medlarctl from 'medlarctl';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('difference of configurations');
const { compare, describe } = medlarctl.difference;

suite('entries that are added, changed or removed are reported by name', () => {
  const before = fixtures.aConfiguration();
  const after = fixtures.aConfiguration({
    upstreams: [fixtures.anUpstream({ slots: 16 }), fixtures.anUpstream({ name: 'engine-3' })],
    limits: { ...before.limits, maxRequests: 10 },
  });
  assert.equal(describe(compare(before, after)), [
    '~ upstreams engine-1: slots 8 -> 16',
    '+ upstreams engine-3',
    '- upstreams engine-2',
    '- upstreams plain-1',
    '~ limits: maxRequests 2000 -> 10',
  ]);
});

suite('equal configurations are reported as no change', () => {
  const same = fixtures.aConfiguration();
  assert.equal(describe(compare(same, { ...same, generation: 9 })), ['nothing changes']);
});

suite('no secret is shown when secrets change', () => {
  const secret = fastCheck.stringMatching(/^[0-9a-f]{64}$/);
  fastCheck.assert(
    fastCheck.property(secret, secret, secret, secret, (a, b, c, d) => {
      const [before, after] = [
        [a, b],
        [c, d],
      ].map(([credentialDigest = '', contextSecret = '']) =>
        fixtures.aConfiguration({
          clientAccounts: [fixtures.aClientAccount({ credentialDigest, contextSecret })],
        }),
      ) as [core.configuration.Configuration, core.configuration.Configuration];
      const shown = [
        ...describe(compare(before, after)),
        ...describe(compare(undefined, after)),
        JSON.stringify(compare(before, after)),
        JSON.stringify(medlarctl.secrets.redact(after)),
      ].join('\n');
      assert.not([a, b, c, d].some((value) => shown.includes(value)));
    }),
    fixtures.seeded(50),
  );
});

const LINES: readonly { line: string | undefined; isAgreed: boolean }[] = [
  { line: 'yes', isAgreed: true },
  { line: ' Y ', isAgreed: true },
  { line: 'no', isAgreed: false },
  { line: '', isAgreed: false },
  { line: 'yesterday', isAgreed: false },
  { line: undefined, isAgreed: false },
];

LINES.forEach(({ line, isAgreed }) => {
  suite(`${JSON.stringify(line) ?? 'no terminal'} ${isAgreed ? 'agrees' : 'declines'}`, () => {
    assert.is(medlarctl.confirmation.parseReply(line).isOk(), isAgreed);
  });
});

suite.run();
