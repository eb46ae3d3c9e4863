/** Guards against a kind of object whose watch is so slow that its bound cannot be kept. */
import * as knowledge from '@medlarweir/core/knowledge';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('rules of knowledge');

const DEPLOYMENTS: Readonly<Record<string, knowledge.rules.Bounds>> = {
  small: { adoptionMs: 2_000, drainMs: 2_000, evacuationMs: 5_000, rolloutMs: 8_000 },
  grown: { adoptionMs: 3_000, drainMs: 3_000, evacuationMs: 5_000, rolloutMs: 10_000 },
  large: { adoptionMs: 4_000, drainMs: 4_000, evacuationMs: 5_000, rolloutMs: 10_000 },
};
const BOUND_OF = {
  'routing-table': 'adoptionMs',
  upstreams: 'drainMs',
  evacuations: 'evacuationMs',
  weights: 'rolloutMs',
} as const;

Object.entries(DEPLOYMENTS).forEach(([name, bounds]) => {
  suite(`${name}: a follower whose reader stopped following a kind asks within the bound`, () => {
    Object.entries(BOUND_OF).forEach(([kind, bound]) => {
      const { limitMs = Infinity } = knowledge.rules.paceOf(kind as keyof typeof BOUND_OF, bounds);
      assert.ok(limitMs < bounds[bound], `${kind}: ${limitMs} ms of ${bounds[bound]} ms`);
    });
  });
});

suite.run();
