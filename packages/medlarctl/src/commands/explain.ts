/** `medlarctl explain`: shows what the journals of all instances contain about one request. */
import * as core from '@medlarweir/core';
import * as neverthrow from 'neverthrow';

import * as files from '../files.js';
import * as registry from '../registry.js';

registry.register({
  name: 'explain',
  usage: 'REQUEST [FILE...]',
  summary: 'shows what became of a request, from journals in files or on standard input',
  requires: 'files',
  run: explain,
});

/** Fields that every line has; only the instance is printed, before the details. */
const COMMON_FIELDS = new Set(['name', 'instance', 'dataCentre', 'hostname', 'pid', 'level', 'v']);
/** Other fields that are left out of the details; all but `requestId` are printed before them. */
const LEADING_FIELDS = new Set(['event', 'msg', 'time', 'requestId']);

async function explain({ positionals }: registry.Input): registry.Outcome {
  const [requestId, ...names] = positionals;
  if (requestId === undefined) return fail('explain: expected REQUEST; found nothing');
  const texts = await files.readTexts(names);
  if (texts.isErr()) return neverthrow.err(texts.error);
  const lines = texts.value
    .flatMap((text) => text.split('\n'))
    .flatMap((text) => core.events.parseLine(text) ?? []);
  const found = core.events.explain(lines, requestId);
  if (found.length === 0) return fail(`explain: no line of ${requestId} in ${lines.length} lines`);
  return neverthrow.ok({ text: found.map(describe).join('\n'), data: found });
}

function describe({ line, about }: core.events.RelatedLine): string {
  const rest = Object.entries(line).filter(
    ([field]) => !COMMON_FIELDS.has(field) && !LEADING_FIELDS.has(field),
  );
  const details = rest.map(([field, value]) => `${field}=${JSON.stringify(value)}`).join(' ');
  const mark = about === 'request' ? '*' : ' ';
  return `${mark} ${line.time} ${line.instance} ${line.event} ${line.msg}: ${details}`;
}

function fail(detail: string) {
  return neverthrow.err(core.results.failure('wrongUse', detail));
}
