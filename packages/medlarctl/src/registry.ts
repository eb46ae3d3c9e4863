/**
 * The registry of operator commands. Each command registers itself when its module is imported; the
 * registry holds descriptions only.
 */
import type * as util from 'node:util';

import type * as core from '@medlarweir/core';
import type * as store from '@medlarweir/platform/store';
import type * as neverthrow from 'neverthrow';

/** Output of a command: text for people, and data for scripts (`--json`). */
export type Output = { text: string; data: unknown };
export type Outcome = Promise<neverthrow.Result<Output, core.results.Failure>>;

/** Flags after they have been parsed. */
export type Flags = Readonly<Record<string, string | boolean | undefined>>;

export type Input = {
  /** Arguments after the name of the command. */
  positionals: readonly string[];
  flags: Flags;
  platform: store.client.Client;
  /** Asks the operator at the terminal; undefined if there is no terminal. */
  ask(question: string): Promise<string | undefined>;
  /** Prints a line to the operator immediately, separately from the output of the command. */
  printLine(line: string): void;
  /** True if the operator confirmed changes in advance with `--yes`. */
  isAssumedYes: boolean;
};

export type OperatorCommand = {
  name: string;
  /** Arguments and flags after the name, for the help text. */
  usage: string;
  summary: string;
  /** What the command needs besides its arguments; defaults to the platform. */
  requires?: 'platform' | 'files';
  flags?: NonNullable<util.ParseArgsConfig['options']>;
  run(input: Input): Outcome;
};

const registered = new Map<string, OperatorCommand>();

export function register(added: OperatorCommand): void {
  if (registered.has(added.name)) throw new Error(`command ${added.name} is registered twice`);
  registered.set(added.name, added);
}

export function list(): readonly OperatorCommand[] {
  return [...registered.values()];
}

export function find(name: string): OperatorCommand | undefined {
  return registered.get(name);
}
