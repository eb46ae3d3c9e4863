import * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
import * as fastCheck from 'fast-check';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('adoption of configuration');

type Message = core.messages.ConfigurationMessage;

function relayed(generation: number): Message {
  const configuration = fixtures.aConfiguration({ generation });
  return { type: 'configuration.relayed', configuration };
}

function watched(generation: number): Message {
  const value = fixtures.aConfiguration({ generation });
  const object = { key: core.configuration.CONFIGURATION_KEY, version: 1, value, writeId: 'w' };
  return { type: 'platform.changed', prefix: object.key, objects: [object] };
}

suite('never reverts, whatever order the news arrives in', () => {
  const news = fastCheck.record({
    generation: fastCheck.integer({ min: 1, max: 20 }),
    isRelayed: fastCheck.boolean(),
  });
  fastCheck.assert(
    fastCheck.property(fastCheck.array(news, { maxLength: 30 }), (all) => {
      const final = all.reduce((state, { generation, isRelayed }) => {
        const message = isRelayed ? relayed(generation) : watched(generation);
        const step = core.configuration.decide(state, message, fixtures.anInstant());
        const before = state.current?.generation ?? 0;
        assert.ok((step.state.current?.generation ?? 0) >= before);
        return step.state;
      }, core.configuration.initial);
      const highest = Math.max(0, ...all.map(({ generation }) => generation));
      assert.is(final.current?.generation ?? 0, highest);
    }),
    fixtures.seeded(),
  );
});

suite('keeps the last good configuration when a broken one arrives', () => {
  const good = core.configuration.decide(
    core.configuration.initial,
    watched(3),
    fixtures.anInstant(),
  ).state;
  const broken: Message = {
    type: 'configuration.relayed',
    configuration: { generation: 9, upstreams: 'none' },
  };
  const step = core.configuration.decide(good, broken, fixtures.anInstant());
  assert.is(step.state.current?.generation, 3);
  assert.is(step.commands[0]?.kind, 'note-refused');
});

suite.run();
