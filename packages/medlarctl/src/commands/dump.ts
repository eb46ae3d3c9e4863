/** `medlarctl dump`: shows the state of every task of one instance. */
import * as util from 'node:util';

import * as core from '@medlarweir/core';
import * as peersTrpc from '@medlarweir/plugin-peers-trpc';
import * as neverthrow from 'neverthrow';

import * as registry from '../registry.js';

registry.register({
  name: 'dump',
  usage: 'INSTANCE',
  summary: 'shows the state of every task of one instance',
  run: dump,
});

async function dump({ platform, positionals, flags }: registry.Input): registry.Outcome {
  const [name] = positionals;
  const { 'deployment-key': key } = flags;
  if (name === undefined) return fail('wrongUse', 'dump: expected INSTANCE; found nothing');
  if (typeof key !== 'string') return fail('wrongUse', KEY_MISSING);
  const listed = await platform.instances();
  if (listed.isErr()) return neverthrow.err(listed.error);
  const instances = listed.value;
  const found = instances.find((each) => each.name === name);
  if (found) return queryInstance(found, key);
  const names = instances.map((each) => each.name).join(', ') || 'none';
  return fail('unknownInstance', `expected one of the platform’s list (${names}); found "${name}"`);
}

const KEY_MISSING =
  '--deployment-key (MEDLARWEIR_DEPLOYMENT_KEY): expected the deployment’s key; found nothing';

async function queryInstance(
  { name, peers }: core.messages.ListedInstance,
  key: string,
): registry.Outcome {
  try {
    const state = await peersTrpc.client.create(peers, key).dump.query();
    return neverthrow.ok({ text: toText(state), data: state });
  } catch (error) {
    return fail('instanceUnreachable', `${name} at ${peers}: ${(error as Error).message}`);
  }
}

function toText(state: Readonly<Record<string, unknown>>): string {
  return Object.entries(state)
    .map(([task, shown]) => `${task}\n${indent(util.inspect(shown, { depth: null }))}`)
    .join('\n');
}

function indent(text: string): string {
  return text.replaceAll(/^/gm, '  ');
}

function fail(code: core.results.CodeName, detail: string) {
  return neverthrow.err(core.results.failure(code, detail));
}
