#!/usr/bin/env node
/** The binary of an entry instance. */
import './plugins.js';

import * as core from '@medlarweir/core';

import * as flags from './flags.js';

const VERSION = '0.1.0';
const EXIT_BAD_SETTING = 2;
const EXIT_STOPPED_AT_ONCE = 3;

function main(): void {
  const wish = flags.parse(process.argv.slice(2), process.env);
  if (wish.isErr()) {
    process.stderr.write(`${core.results.describe(wish.error)}\n`);
    process.exitCode = EXIT_BAD_SETTING;
    return;
  }
  obey(wish.value);
}

function obey(wish: flags.Wish): void {
  switch (wish.kind) {
    case 'help':
      process.stdout.write(`${flags.helpText()}\n`);
      return;
    case 'version':
      process.stdout.write(`${VERSION}\n`);
      return;
    case 'check':
      process.stdout.write('settings are valid\n');
      return;
    case 'run':
      run(wish.settings);
      return;
    default:
      core.results.never(wish);
  }
}

function run(settings: core.settings.Settings): void {
  const kernel = core.kernel.start(settings, core.kernel.plugins());
  const record = (event: core.events.Event) =>
    kernel.send('journal', { type: 'journal.record', event });
  record({ name: 'instanceStarted', details: { version: VERSION, pid: process.pid } });
  const signals = { received: 0 };
  const onSignal = (signal: NodeJS.Signals) => {
    signals.received += 1;
    if (signals.received === 1) {
      record({ name: 'instanceLeaving', details: { signal } });
      kernel.leave();
      return;
    }
    const cut = kernel.dump().callers as { openRequests?: number } | undefined;
    record({ name: 'instanceStopped', details: { signal, cutRequests: cut?.openRequests ?? 0 } });
    process.exit(EXIT_STOPPED_AT_ONCE);
  };
  process.on('SIGTERM', onSignal);
  process.on('SIGINT', onSignal);
  void kernel.stopped.then(() => {
    record({ name: 'instanceStopped', details: { cutRequests: 0 } });
    process.exit(0);
  });
}

main();
