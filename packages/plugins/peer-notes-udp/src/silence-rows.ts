/** Rows of upstreams that do not answer, in a datagram. */
import type * as core from '@medlarweir/core';

import type * as schemas from './schemas.js';

type Update = core.silence.types.Update;

export function toTuple({ from, scope, rows }: Update): schemas.SilenceBody {
  return [
    'silence',
    from,
    scope,
    rows.map(({ upstream, reporters }): schemas.SilenceBody[3][number] => [
      upstream,
      [...reporters],
    ]),
  ];
}

export function fromTuple([, from, scope, rows]: schemas.SilenceBody): Update {
  return {
    from,
    scope,
    rows: rows.map(([upstream, reporters]) => ({ upstream, reporters: new Map(reporters) })),
  };
}
