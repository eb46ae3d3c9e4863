/** Starts this repository's executables as child processes and signals them by their handles. */
import * as childProcess from 'node:child_process';
import * as events from 'node:events';
import * as path from 'node:path';
import * as readline from 'node:readline';
import type * as stream from 'node:stream';
import * as url from 'node:url';

const ROOT = url.fileURLToPath(new URL('../..', import.meta.url));
const START_TIMEOUT_MS = 20_000;

export const BINARIES = {
  standIn: path.join(ROOT, 'packages/stand-ins/dist/main.js'),
  medlarweir: path.join(ROOT, 'packages/medlarweir/dist/main.js'),
  medlarctl: path.join(ROOT, 'packages/medlarctl/dist/main.js'),
};

export type Process = {
  pid: number;
  /** Resolves with the first line of output, parsed, for which `pick` returns a value. */
  waitForLine<Value>(pick: (line: Record<string, unknown>) => Value | undefined): Promise<Value>;
  signal(signal: NodeJS.Signals): void;
  /** The lines printed to stdout so far, parsed. */
  outputLines(): readonly Record<string, unknown>[];
  /** Resolves with the exit code, or with the name of the signal that ended the process. */
  exited: Promise<number | string>;
};

/** `nodeFlags` are those of Node.js itself. */
export function start(
  script: string,
  args: readonly string[],
  nodeFlags: readonly string[] = [],
): Process {
  const child = childProcess.spawn(process.execPath, [...nodeFlags, script, ...args], {
    stdio: ['ignore', 'pipe', 'inherit'],
    env: { PATH: process.env.PATH },
  });
  const lines: Record<string, unknown>[] = [];
  const arrivals = new events.EventEmitter();
  arrivals.setMaxListeners(0);
  readline.createInterface({ input: child.stdout }).on('line', (text) => {
    lines.push(parseLine(text));
    arrivals.emit('line');
  });
  const exited = new Promise<number | string>((resolve) => {
    child.on('exit', (code, signal) => resolve(code ?? signal ?? 'unknown'));
  });
  return {
    pid: child.pid ?? -1,
    exited,
    signal: (signal) => child.kill(signal),
    outputLines: () => [...lines],
    waitForLine: (pick) => waitForMatch(lines, arrivals, pick),
  };
}

function parseLine(text: string): Record<string, unknown> {
  try {
    return JSON.parse(text) as Record<string, unknown>;
  } catch {
    return { text };
  }
}

function waitForMatch<Value>(
  lines: readonly Record<string, unknown>[],
  arrivals: events.EventEmitter,
  pick: (line: Record<string, unknown>) => Value | undefined,
): Promise<Value> {
  const look = () => lines.map(pick).find((value) => value !== undefined);
  return new Promise((resolve, reject) => {
    const timer = setTimeout(() => {
      arrivals.off('line', onLine);
      reject(
        new Error(
          `timed out waiting for an expected line of output; lines so far: ${JSON.stringify(lines)}`,
        ),
      );
    }, START_TIMEOUT_MS);
    function onLine() {
      const found = look();
      if (found === undefined) return;
      clearTimeout(timer);
      arrivals.off('line', onLine);
      resolve(found);
    }
    arrivals.on('line', onLine);
    onLine();
  });
}

/** Runs a command to its end and returns its stdout; throws if its exit code is not 0. */
export async function runOrThrow(script: string, args: readonly string[]): Promise<string> {
  const { code, stdout, stderr } = await run(script, args);
  if (code === 0) return stdout;
  throw new Error(`${path.basename(script)} ${args.join(' ')} exited with ${code}: ${stderr}`);
}

/** Exit code (or signal name) and complete output of a command. */
export type CompletedRun = { code: number | string; stdout: string; stderr: string };

/** Runs a command to its end, without a terminal on stdin. */
export async function run(
  script: string,
  args: readonly string[],
  environment: Readonly<Record<string, string>> = {},
): Promise<CompletedRun> {
  const child = childProcess.spawn(process.execPath, [script, ...args], {
    stdio: ['ignore', 'pipe', 'pipe'],
    env: { PATH: process.env.PATH, ...environment },
  });
  const [stdout, stderr] = [collect(child.stdout), collect(child.stderr)];
  const code = await new Promise<number | string>((resolve) => {
    child.on('close', (exitCode, signal) => resolve(exitCode ?? signal ?? 'unknown'));
  });
  return { code, stdout: stdout(), stderr: stderr() };
}

function collect(readable: stream.Readable): () => string {
  const chunks: Buffer[] = [];
  readable.on('data', (chunk: Buffer) => chunks.push(chunk));
  return () => Buffer.concat(chunks).toString('utf8');
}
