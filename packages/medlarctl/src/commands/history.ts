/** `medlarctl history`: shows who changed the configuration, when and why. */
import * as core from '@medlarweir/core';
import * as neverthrow from 'neverthrow';

import * as change from '../change.js';
import * as history from '../history.js';
import * as registry from '../registry.js';

const MAX_SHOWN_CHANGES = 20;

registry.register({
  name: 'history',
  usage: '',
  summary: 'shows who changed the configuration, when and why',
  run: showHistory,
});

async function showHistory({ platform }: registry.Input): registry.Outcome {
  const base = await change.readActive(platform);
  if (base.isErr()) return neverthrow.err(base.error);
  const { head } = base.value;
  if (!head) return neverthrow.ok({ text: 'no configuration yet', data: [] });
  const found = await history.readBackTo(
    platform,
    head,
    Math.max(1, head.generation - MAX_SHOWN_CHANGES),
  );
  return found.map(({ changes }) => {
    const shown = changes.slice(0, MAX_SHOWN_CHANGES);
    return { text: shown.map(describe).join('\n'), data: shown.map(summarize) };
  });
}

function summarize({ generation, by, atMs, why, edits }: core.configuration.Change) {
  const at = new Date(atMs).toISOString();
  return { generation, by, at, why, edits: edits.map(core.configuration.describeEdit) };
}

function describe(given: core.configuration.Change): string {
  const { generation, by, at, why, edits } = summarize(given);
  return [`${generation}  ${at}  ${by}  ${why}`, ...edits.map((edit) => `    ${edit}`)].join('\n');
}
