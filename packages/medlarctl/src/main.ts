#!/usr/bin/env node
/** The operators' binary. */
import * as core from '@medlarweir/core';

import * as command from './command.js';
import * as run from './run.js';

const EXIT_FAILED = 1;
const EXIT_WRONG_USE = 2;

const parsed = command.parse(process.argv.slice(2), process.env);
if (parsed.isErr()) {
  process.stderr.write(`${core.results.describe(parsed.error)}\n`);
  process.exitCode = EXIT_WRONG_USE;
} else {
  const isJson = parsed.value.kind !== 'help' && parsed.value.options.isJson;
  const outcome = await run.run(parsed.value);
  outcome.match(
    ({ text, data }) => process.stdout.write(`${isJson ? JSON.stringify(data) : text}\n`),
    (failure) => {
      process.stderr.write(`${core.results.describe(failure)}\n`);
      process.exitCode = EXIT_FAILED;
    },
  );
}
