/**
 * `npm test [-- FILTER]`: runs each test file in its own process, a few in parallel and those with crowds of
 * clients alone, and prints `N passed, N failed` as the last line. Failures that are listed in `KNOWN-RED.txt` are printed but
 * do not count as failed.
 */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';

import * as knownRed from './known-red.js';

type FileResult = { file: string; passed: number; failures: readonly string[]; output: string };

const FILE_TIMEOUT_MS = 120_000;
/** Time after the exit of a process to read the output that is still in its pipes. */
const OUTPUT_GRACE_MS = 100;
const MAX_PARALLEL_FILES = Math.max(1, Math.min(6, os.availableParallelism() - 2));
/** These files fill a process's memory; they run one at a time, after all others. */
const RUNS_ALONE = /\/untrusted-[^/]*\.test\.ts$/;
const FOLDERS = ['packages', 'platform', 'benchmark', 'examples', 'scripts', 'soak'];

function findTests(folder: string): readonly string[] {
  return fs.readdirSync(folder, { withFileTypes: true }).flatMap((entry) => {
    const entryPath = path.join(folder, entry.name);
    if (entry.name === 'node_modules' || entry.name === 'dist') return [];
    if (entry.isDirectory()) return findTests(entryPath);
    return entry.name.endsWith('.test.ts') ? [entryPath] : [];
  });
}

function runFile(file: string): Promise<FileResult> {
  const args = ['--conditions=source', '--expose-gc', '--import', 'tsx', file];
  return new Promise((resolve) => {
    const child = childProcess.spawn(process.execPath, args, {
      env: { ...process.env, FORCE_COLOR: '0', NO_COLOR: '1' },
    });
    const chunks: Buffer[] = [];
    const timer = setTimeout(() => child.kill('SIGKILL'), FILE_TIMEOUT_MS);
    child.stdout.on('data', (chunk: Buffer) => chunks.push(chunk));
    child.stderr.on('data', (chunk: Buffer) => chunks.push(chunk));
    // Does not wait for the pipes to close, since a process left by a failed test may keep them open.
    child.on('exit', (code) => {
      clearTimeout(timer);
      const read = () => resolve(readResult(file, Buffer.concat(chunks).toString('utf8'), code));
      setTimeout(read, OUTPUT_GRACE_MS);
    });
  });
}

/**
 * Parses the output of uvu: `FAIL  suite  "test"` for each failure, and totals. A file without totals,
 * or with a failing exit code but no named failure, counts as failed as a whole.
 */
function readResult(file: string, output: string, code: number | null): FileResult {
  const passed = Number(/Passed:\s+(\d+)/.exec(output)?.[1] ?? 0);
  const namedFailures = [...output.matchAll(/FAIL\s+(\S.*?)\s+"(.*)"/g)].map(
    ([, suite, test]) => `${suite} > ${test}`,
  );
  const hasTotals = /Total:\s+\d+/.test(output);
  const isBroken = !hasTotals || (code !== 0 && namedFailures.length === 0);
  return {
    file,
    passed,
    failures: isBroken ? [...namedFailures, `${file} > whole file`] : namedFailures,
    output,
  };
}

async function runAll(files: readonly string[]): Promise<readonly FileResult[]> {
  const beside = await runQueue(
    files.filter((file) => !RUNS_ALONE.test(file)),
    MAX_PARALLEL_FILES,
  );
  const alone = await runQueue(
    files.filter((file) => RUNS_ALONE.test(file)),
    1,
  );
  return [...beside, ...alone];
}

async function runQueue(files: readonly string[], atOnce: number): Promise<readonly FileResult[]> {
  const queue = [...files];
  const results: FileResult[] = [];
  const runQueuedFiles = async () => {
    for (let file = queue.shift(); file !== undefined; file = queue.shift()) {
      const result = await runFile(file);
      results.push(result);
      if (result.failures.length > 0) process.stdout.write(`${result.file}\n${result.output}\n`);
    }
  };
  await Promise.all(Array.from({ length: atOnce }, runQueuedFiles));
  return results;
}

function report(results: readonly FileResult[]): boolean {
  const known = knownRed.read('KNOWN-RED.txt');
  const isKnown = (failure: string) => known.some(({ test }) => test === failure);
  const failures = results.flatMap((result) => result.failures);
  const passedOver = failures.filter(isKnown);
  const failed = failures.filter((failure) => !isKnown(failure));
  const passed = results.reduce((sum, result) => sum + result.passed, 0);
  process.stdout.write(`${results.length} test files\n`);
  known.forEach(({ test, seen, issue }) => {
    const state = passedOver.includes(test) ? 'passed over' : 'did not fail in this run';
    process.stdout.write(`known red (${state}): ${test}: ${seen} (issue ${issue})\n`);
  });
  failed.forEach((failure) => process.stdout.write(`failed: ${failure}\n`));
  process.stdout.write(`${passed} passed, ${failed.length} failed\n`);
  return failed.length === 0;
}

const filter = process.argv[2] ?? '';
const files = FOLDERS.flatMap(findTests).filter((file) => file.includes(filter));
process.exitCode = report(await runAll(files)) ? 0 : 1;
