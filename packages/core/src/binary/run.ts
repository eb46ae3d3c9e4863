/** Runs a server binary: parses its command line, starts the kernel and handles stop signals. */
import type * as events from '../events/event.js';
import * as kernels from '../kernel/index.js';
import * as results from '../results/index.js';
import * as commandLine from './command-line.js';

const VERSION = '0.1.0';
const EXIT_BAD_SETTING = 2;
const EXIT_STOPPED_AT_ONCE = 3;
const EXIT_TASK_FAILED = 4;

/** The effect of a stop signal while a planned stop is in progress. */
export type RepeatedSignal = 'stops-at-once' | 'is-ignored';

export type Binary<Settings> = commandLine.Program<Settings> & { repeatedSignal: RepeatedSignal };

export function main<Settings extends kernels.NamedSettings>(binary: Binary<Settings>): void {
  const invocation = commandLine.parse(binary, process.argv.slice(2), process.env);
  if (invocation.isErr()) {
    process.stderr.write(`${results.describe(invocation.error)}\n`);
    process.exitCode = EXIT_BAD_SETTING;
    return;
  }
  execute(binary, invocation.value);
}

function execute<Settings extends kernels.NamedSettings>(
  binary: Binary<Settings>,
  invocation: commandLine.Invocation<Settings>,
): void {
  switch (invocation.kind) {
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
      run(binary, invocation.settings);
      return;
    default:
      results.assertNever(invocation);
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
    // Settings come from flags and environment variables: there is no file to read again.
    record({ name: 'settingsReloaded', details: { changed: false } });
  });
  void kernel.failed.then((failure) => {
    record({ name: 'instanceFailed', details: failure });
    process.exit(EXIT_TASK_FAILED);
  });
  void kernel.stopped.then(() => {
    record({ name: 'instanceStopped', details: { cutRequests: 0 } });
    process.exit(0);
  });
}
