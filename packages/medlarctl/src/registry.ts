/**
 * The register of operators' commands. Each command registers itself when its module is imported;
 * the register holds descriptions only.
 */
import type * as util from 'node:util';

import type * as core from '@medlarweir/core';
import type * as store from '@medlarweir/platform/store';
import type * as neverthrow from 'neverthrow';

/** What a command prints: text for people and data for scripts. */
export type Output = { text: string; data: unknown };
export type Outcome = Promise<neverthrow.Result<Output, core.results.Failure>>;

/** Flags after they have been parsed. */
export type Flags = Readonly<Record<string, string | boolean | undefined>>;

export type Input = {
  /** Words after the command's name. */
  positionals: readonly string[];
  flags: Flags;
  platform: store.client.Client;
  /** Asks the operator at the terminal; nothing if there is no terminal. */
  ask(question: string): Promise<string | undefined>;
  /** Shows a line to the operator at once, beside the report. */
  printLine(line: string): void;
  /** True if the operator agreed to changes beforehand. */
  isAssumedYes: boolean;
};

export type OperatorCommand = {
  name: string;
  /** Words and flags behind the name, for the help text. */
  usage: string;
  summary: string;
  /** What it needs besides its words; the platform if nothing is said. */
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
