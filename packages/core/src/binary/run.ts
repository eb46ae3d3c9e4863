/** Runs a binary that serves: reads its command line, starts the kernel, and ends with the signals. */
import type * as events from '../events/event.js';
import * as kernels from '../kernel/index.js';
import * as results from '../results/index.js';
import * as commandLine from './command-line.js';

const VERSION = '0.1.0';
const EXIT_BAD_SETTING = 2;
const EXIT_STOPPED_AT_ONCE = 3;

/** What a signal to stop does while the stop is already under way. */
export type RepeatedSignal = 'stops-at-once' | 'is-ignored';

export type Binary<Settings> = commandLine.Program<Settings> & { repeatedSignal: RepeatedSignal };

export function main<Settings extends kernels.NamedSettings>(binary: Binary<Settings>): void {
  const wish = commandLine.parse(binary, process.argv.slice(2), process.env);
  if (wish.isErr()) {
    process.stderr.write(`${results.describe(wish.error)}\n`);
    process.exitCode = EXIT_BAD_SETTING;
    return;
  }
  execute(binary, wish.value);
}

function execute<Settings extends kernels.NamedSettings>(
  binary: Binary<Settings>,
  wish: commandLine.Invocation<Settings>,
): void {
  switch (wish.kind) {
    case 'help':
      process.stdout.write(`${commandLine.helpText(binary)}\n`);
      return;
    case 'version':
      process.stdout.write(`${VERSION}\n`);
      return;
    case 'check':
      process.stdout.write('settings are valid\n');
      return;
    case 'run':
      run(binary, wish.settings);
      return;
    default:
      results.assertNever(wish);
  }
}

function run<Settings extends kernels.NamedSettings>(
  binary: Binary<Settings>,
  settings: Settings,
): void {
  const kernel = kernels.start(settings, kernels.plugins<Settings>());
  const record = (event: events.Event) => kernel.send('journal', { type: 'journal.record', event });
  record({ name: 'instanceStarted', details: { version: VERSION, pid: process.pid } });
  const signals = { received: 0 };
  const onSignal = (signal: NodeJS.Signals) => {
    signals.received += 1;
    if (signals.received === 1) {
      record({ name: 'instanceLeaving', details: { signal } });
      kernel.drain();
      return;
    }
    if (binary.repeatedSignal === 'is-ignored') return;
    const cut = kernel.dump().callers as { openRequests?: number } | undefined;
    record({ name: 'instanceStopped', details: { signal, cutRequests: cut?.openRequests ?? 0 } });
    process.exit(EXIT_STOPPED_AT_ONCE);
  };
  process.on('SIGTERM', onSignal);
  process.on('SIGINT', onSignal);
  process.on('SIGHUP', () => {
    // Settings are flags and variables of the process: there is no file to read again.
    record({ name: 'settingsReloaded', details: { changed: false } });
  });
  void kernel.stopped.then(() => {
    record({ name: 'instanceStopped', details: { cutRequests: 0 } });
    process.exit(0);
  });
}
