import * as fastCheck from 'fast-check';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

import * as json from '../../src/json/index.js';
import * as fixtures from '../fixtures/index.js';

const suite = uvu.suite('JSON text from outside');

const DEPTHS = [json.MAX_DEPTH + 1, 1_000, 10_000, 100_000];

function nested(depth: number, opening: string, closing: string): string {
  return opening.repeat(depth) + closing.repeat(depth);
}

function parse(text: string): json.Parsed {
  return json.parse(text).match(
    (parsed) => parsed,
    (reason) => {
      throw new Error(reason);
    },
  );
}

suite('text within the bound is parsed as it is', () => {
  fastCheck.assert(
    fastCheck.property(fastCheck.json({ maxDepth: 20 }), (text) => {
      const parsed = parse(text);
      assert.equal(parsed, { value: JSON.parse(text) as unknown, hasOmissions: false });
    }),
    fixtures.seeded(500),
  );
});

/** Guards against a value that overflows the stack when it is written again. */
suite('parts that are nested too deeply are left out, and the others are kept', () => {
  DEPTHS.forEach((depth) =>
    [nested(depth, '[', ']'), nested(depth, '{"a":[', ']}')].forEach((deep) => {
      const text = `[{"good":"]}\\"["},${deep},{"also":[1,{"b":2}]}]`;
      const { value, hasOmissions } = parse(text);
      const [first, odd, last] = value as readonly unknown[];
      assert.equal([first, last], [{ good: ']}"[' }, { also: [1, { b: 2 }] }]);
      assert.is(hasOmissions, true);
      assert.equal([first, odd, last].map(json.isComplete), [true, false, true]);
      assert.ok(JSON.stringify(value).length < 2_000);
    }),
  );
});

suite('text that is not JSON stays so without its deep parts', () => {
  ['[', '{"a":', ']', `${nested(100, '[', ']')}]`, '['.repeat(100), '"\\', '"['].forEach((text) =>
    assert.ok(json.parse(text).isErr(), text),
  );
});

/** Guards against an entry that passes for unreadable content, or a reason that is sent on. */
suite('only the mark itself has a reason, and it is written without it', () => {
  const mark = json.unreadable('a reason');
  assert.is(json.reasonOf(mark), 'a reason');
  assert.is(JSON.stringify(mark), '{}');
  [null, undefined, 'reason', {}, { reason: 'x' }, []].forEach((other) =>
    assert.is(json.reasonOf(other), undefined),
  );
});

suite.run();
