/** Measures each example under each policy, all in one run and with the same seed. */
import * as choices from './choice.js';
import * as examples from './examples.js';

type Measure<Figures> = (example: examples.Example, policy: choices.Policy) => Figures;

/** Figures by example, then by policy. */
export function measureAll<Figures>(
  measure: Measure<Figures>,
): Record<string, Record<string, Figures>> {
  const ofExample = (example: examples.Example) =>
    choices.POLICIES.map((policy) => [policy, measure(example, policy)] as const);
  return Object.fromEntries(
    examples.ALL.map((example) => [example.name, Object.fromEntries(ofExample(example))]),
  );
}
