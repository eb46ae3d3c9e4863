/** Frees stored context of weights that no upstream uses any more. */
import type * as rollouts from './decide.js';

/** Frees the parts that the fleet reports as obsolete; `reconcile` then clears the list, so each is freed once. */
export function free({ obsoleteParts, stores }: rollouts.State): readonly rollouts.Command[] {
  return obsoleteParts.flatMap(({ store, epoch, parts }): readonly rollouts.Command[] => {
    const address = stores.find(({ name }) => name === store)?.address;
    if (address === undefined) return [];
    return [{ kind: 'free', request: { store, address, epoch, parts } }];
  });
}
