import * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
import * as fastCheck from 'fast-check';
import * as medlarctl from 'medlarctl';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('invalid operator input');

const SECRET = fixtures.PLANTED_SECRET;
const VALID = fixtures.aCompletedQuestionnaire({
  clientAccounts: [{ name: 'gamma', credential: SECRET }],
});

suite(
  'arbitrary and corrupted answers give answers or a failure with code 6001 without the credential',
  () => {
    const input = fastCheck.oneof(fastCheck.jsonValue(), fixtures.nearlyValid(VALID));
    fastCheck.assert(
      fastCheck.property(input, (found) => {
        const parsed = medlarctl.answers.parse(found);
        if (parsed.isOk()) return;
        const text = core.results.describe(parsed.error);
        assert.match(text, /^6001 invalid input: ./);
        assert.not.match(text, SECRET.slice(0, 20));
      }),
      fixtures.seeded(500),
    );
  },
);

suite('answers that pass validation give a configuration or a failure with a detail', () => {
  fastCheck.assert(
    fastCheck.property(fixtures.nearlyValid(VALID), (found) => {
      const generated = medlarctl.answers
        .parse(found)
        .andThen((given) => medlarctl.generator.generate(given, fixtures.aConfiguration()));
      if (generated.isErr()) assert.ok(generated.error.detail.length > 0);
    }),
    fixtures.seeded(),
  );
});

suite('an arbitrary command line gives an invocation or a failure with code 6003 or 6142', () => {
  const word = fastCheck.oneof(
    fastCheck.string(),
    fastCheck.constantFrom('get', 'apply', '--platform', 'h:1', '--yes', '--json', '--', '-h'),
  );
  fastCheck.assert(
    fastCheck.property(fastCheck.array(word), (argv) => {
      const invocation = medlarctl.commandLine.parse(argv, {});
      if (invocation.isErr()) assert.ok([6003, 6142].includes(codeOf(invocation.error)));
    }),
    fixtures.seeded(500),
  );
});

function codeOf(failure: core.results.Failure): number {
  return core.results.resultCodes[failure.code].number;
}

suite.run();
