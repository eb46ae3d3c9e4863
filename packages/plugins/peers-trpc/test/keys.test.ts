/**
 * Guards key rotation: during it peers present either key, and an instance must accept both and no
 * other.
 */
import * as core from '@medlarweir/core';
import * as peersTrpc from '@medlarweir/plugin-peers-trpc';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('deployment keys');

const OWN = 'the-own-key-of-the-deployment';
const OTHER = 'the-other-key-while-rotating';

/** A journal plug-in that passes on the address at which the peers task listens. */
function aJournal(onListening: (address: string) => void): core.kernel.Plugin {
  const definition: core.kernel.TaskDefinition<null, core.messages.JournalMessage, string> = {
    name: 'journal',
    create: () => ({
      initial: null,
      decide(state, message) {
        if (message.type !== 'journal.record') return { state, commands: [] };
        const { peers } = message.event.details;
        return { state, commands: typeof peers === 'string' ? [peers] : [] };
      },
      perform: onListening,
      dump: () => null,
    }),
  };
  return { name: 'journal', hooks: { 'instance:setup': ({ addTask }) => addTask(definition) } };
}

async function anInstance(otherKey: string | undefined) {
  const flags = {
    name: 'instance-1',
    'data-centre': 'dc-1',
    peers: '127.0.0.1:0',
    platform: '127.0.0.1:1',
    'deployment-key': OWN,
    'other-deployment-key': otherKey,
  };
  const settings = core.settings.parse(flags, {});
  if (settings.isErr()) throw new Error(core.results.describe(settings.error));
  const started: { kernel?: core.kernel.Kernel } = {};
  const address = await new Promise<string>((resolve) => {
    const plugins = [aJournal(resolve), ...core.kernel.plugins()];
    started.kernel = core.kernel.start(settings.value, plugins);
  });
  return { address, stop: () => started.kernel?.stop() };
}

/** `other` is the second key that the instance accepts, `key` the one that the peer presents. */
const ROWS = [
  { other: undefined, key: OWN, isAccepted: true },
  { other: undefined, key: OTHER, isAccepted: false },
  { other: OTHER, key: OWN, isAccepted: true },
  { other: OTHER, key: OTHER, isAccepted: true },
  { other: OTHER, key: 'a-key-that-nobody-has', isAccepted: false },
];

ROWS.forEach(({ other, key, isAccepted }) => {
  suite(
    `${key} ${isAccepted ? 'is accepted' : 'is rejected'} with second key ${other ?? 'none'}`,
    async () => {
      const instance = await anInstance(other);
      const answer = peersTrpc.client.create(instance.address, key).dump.query();
      const found = await answer.then(
        () => true,
        () => false,
      );
      instance.stop();
      assert.is(found, isAccepted);
    },
  );
});

suite.run();
