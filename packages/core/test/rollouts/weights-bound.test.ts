/**
 * Guards against requests that begin on replaced weights too late after the newer ones were named, over
 * random schedules of namings, troubles, loads and waits.
 */
import * as fixtures from '@medlarweir/core/fixtures';
import * as fastCheck from 'fast-check';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('rollouts: bound on replaced weights');
const { weightsCheck, weightsSchedule } = fixtures;

// Guards against a model that no schedule exercises: work does begin on old and on new weights.
suite('play reaches old and new weights', () => {
  const variations = weightsSchedule.variations();
  const [schedule] = fastCheck.sample(weightsSchedule.schedules(variations), {
    seed: 1,
    numRuns: 1,
  });
  const begun = schedule ? fixtures.playWeights(schedule) : [];
  assert.ok(begun.some(({ version }) => version === 1));
  assert.ok(begun.length > 50);
});

// Guards against work on weights that were replaced too long ago, while nothing goes wrong.
suite('holds without troubles', () => weightsCheck.holds({}));

// Guards against a bound that leaves out the time to read a long prompt.
suite('holds for long prompts', () => weightsCheck.holds({ maxOwnTokens: 80_000 }));

// Guards against a process that counts the bound from its own start.
suite('holds for instances started anew', () => weightsCheck.holds({ troubles: ['killed'] }));

// Guards against a bound that follows the steps of the wall clock.
suite('holds while wall clocks step', () => weightsCheck.holds({ troubles: ['stepped'] }));

// Guards against a bound that counts from the waking of an instance that was stopped at the naming.
suite('holds for instances frozen at the naming', () =>
  weightsCheck.holds({ troubles: ['frozen'] }),
);

// Guards against an age that lacks the time for which a suspended machine's monotonic clock stood.
suite('holds for suspended clocks', () =>
  weightsCheck.holdsWhere(weightsSchedule.suspendedLater(), (schedule) =>
    weightsCheck.breachesOf(schedule),
  ),
);

// Guards against a lost watch, after which the bound counts from the next answer.
suite('holds for lost watches', () => weightsCheck.holds({ troubles: ['reset', 'cut'] }));

suite.run();
