/** Child processes that write JSON lines, and the signals that they get. */
import * as childProcess from 'node:child_process';
import * as readline from 'node:readline';

export type Line = Readonly<Record<string, unknown>>;

export type Child = {
  signal(signal: NodeJS.Signals): void;
  exited: Promise<number | null>;
  hasExited(): boolean;
  /** Claims the restart of the process; false if another one has, or it has ended. */
  claimRestart(): boolean;
};

const NODE_ARGS = ['--conditions=source', '--import', 'tsx'];

/** Starts a program of the repository from its sources. */
export function start(
  program: string,
  args: readonly string[],
  onLine: (line: Line) => void,
): Child {
  const child = childProcess.spawn(process.execPath, [...NODE_ARGS, program, ...args], {
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  readline.createInterface({ input: child.stdout }).on('line', (text) => {
    onLine(JSON.parse(text) as Line);
  });
  const exited = new Promise<number | null>((resolve) => {
    child.on('exit', resolve);
  });
  const state = { isClaimed: false };
  const hasExited = () => child.exitCode !== null || child.signalCode !== null;
  return {
    signal: (signal) => child.kill(signal),
    exited,
    hasExited,
    claimRestart() {
      if (state.isClaimed || hasExited()) return false;
      state.isClaimed = true;
      return true;
    },
  };
}
