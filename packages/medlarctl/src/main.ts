#!/usr/bin/env node
/** The executable of `medlarctl`. */
import './commands/index.js';

import * as readline from 'node:readline';

import * as core from '@medlarweir/core';
import * as store from '@medlarweir/platform/store';

import * as commandLine from './command-line.js';
import * as exitCodes from './exit-codes.js';

const VERSION = '0.1.0';

/** Returns undefined if nobody can answer: there is no terminal, or it was closed. */
async function ask(question: string): Promise<string | undefined> {
  if (!process.stdin.isTTY) return undefined;
  const terminal = readline.createInterface({ input: process.stdin, output: process.stderr });
  const answer = await new Promise<string | undefined>((resolve) => {
    terminal.once('close', () => resolve(undefined));
    terminal.question(question, resolve);
  });
  terminal.close();
  return answer;
}

async function run(invocation: Extract<commandLine.Invocation, { kind: 'run' }>): Promise<void> {
  const platform = store.client.create(invocation.platform);
  const { positionals, flags, isAssumedYes, isJson } = invocation;
  const printLine = (line: string) => process.stderr.write(`${line}\n`);
  const outcome = await invocation.command.run({
    positionals,
    flags,
    platform,
    ask,
    printLine,
    isAssumedYes,
  });
  await platform.close();
  outcome.match(
    ({ text, data }) => process.stdout.write(`${isJson ? JSON.stringify(data) : text}\n`),
    fail,
  );
}

function fail(failure: core.results.Failure): void {
  process.stderr.write(`${core.results.describe(failure)}\n`);
  process.exitCode = exitCodes.forFailure(failure);
}

async function execute(invocation: commandLine.Invocation): Promise<void> {
  switch (invocation.kind) {
    case 'help':
      process.stdout.write(`${commandLine.helpText()}\n`);
      return;
    case 'version':
      process.stdout.write(`${VERSION}\n`);
      return;
    case 'run':
      await run(invocation);
      return;
    default:
      core.results.assertNever(invocation);
  }
}

const parsed = commandLine.parse(process.argv.slice(2), process.env);
if (parsed.isErr()) fail(parsed.error);
else await execute(parsed.value);
