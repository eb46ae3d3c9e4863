/** Selects the lines that explain one request from the journals of any number of instances. */
import * as zod from 'zod';

import * as catalogue from './catalogue.js';

/** The fields of a journal line that the explanation needs. */
const lineSchema = zod.looseObject({
  time: zod.string(),
  instance: zod.string(),
  event: zod.number(),
  msg: zod.string(),
  requestId: zod.string().optional(),
});

export type JournalLine = zod.infer<typeof lineSchema>;

/**
 * `request`: a line of the request itself; the others are about its instance, its upstreams, and the
 * quarantine of a part of its prompt with the evidence for it.
 */
export type RelatedLine = {
  line: JournalLine;
  about: 'request' | 'upstream' | 'instance' | 'quarantine';
};

const { catalogue: table } = catalogue;
/** Events about an instance's state that can affect the outcome of a request. */
const INSTANCE_EVENTS: ReadonlySet<number> = new Set(
  [
    table.tableAdopted,
    table.readinessChanged,
    table.weightsNamed,
    table.dataCentresEvacuated,
    table.softwareVersions,
    table.dependencyLost,
    table.dependencyBack,
    table.instanceStarted,
    table.instanceLeaving,
    table.linesDropped,
  ].map(({ number }) => number),
);
/** Events about a prompt part, which any instance may have recorded at any time before. */
const QUARANTINE_EVENTS: ReadonlySet<number> = new Set(
  [table.partCondemned, table.verdictLifted].map(({ number }) => number),
);
/** Events up to this long before the start of the request are included. */
const LOOKBACK_MS = 5_000;

/** Parses one line of text, ignoring any prefix that a log collector added. */
export function parseLine(text: string): JournalLine | undefined {
  const at = text.indexOf('{');
  if (at < 0) return undefined;
  try {
    const checked = lineSchema.safeParse(JSON.parse(text.slice(at)));
    return checked.success ? checked.data : undefined;
  } catch {
    // A truncated line holds no usable record.
    return undefined;
  }
}

export function explain(lines: readonly JournalLine[], requestId: string): readonly RelatedLine[] {
  const own = lines.filter((line) => line.requestId === requestId);
  const last = own.at(-1);
  if (!last) return [];
  const endMs = Math.max(...own.map(timeOf));
  const startMs = Math.min(...own.map((line) => timeOf(line) - tookMs(line))) - LOOKBACK_MS;
  const instances = new Set(own.map(({ instance }) => instance));
  const upstreams = new Set(own.flatMap(upstreamsOf));
  const near = lines.filter(
    (line) =>
      line.requestId === undefined &&
      instances.has(line.instance) &&
      timeOf(line) >= startMs &&
      timeOf(line) <= endMs,
  );
  const explained: readonly RelatedLine[] = [
    ...own.map((line): RelatedLine => ({ line, about: 'request' })),
    ...near
      .filter(({ event }) => INSTANCE_EVENTS.has(event))
      .map((line): RelatedLine => ({ line, about: 'instance' })),
    ...near
      .filter((line) => upstreamsOf(line).some((id) => upstreams.has(id)))
      .map((line): RelatedLine => ({ line, about: 'upstream' })),
    ...quarantineOf(lines, own, endMs).map((line): RelatedLine => ({ line, about: 'quarantine' })),
  ];
  return [...explained].sort((a, b) => timeOf(a.line) - timeOf(b.line));
}

/** The verdicts that the request's own lines give as a reason, and the crashes that led to them. */
function quarantineOf(
  lines: readonly JournalLine[],
  own: readonly JournalLine[],
  endMs: number,
): readonly JournalLine[] {
  const reasons = own.flatMap(({ reason }) => (typeof reason === 'string' ? [reason] : []));
  const verdicts = lines.filter(
    (line) =>
      QUARANTINE_EVENTS.has(line.event) &&
      timeOf(line) <= endMs &&
      reasons.some((reason) => names(reason, line.part) && names(reason, line.model)),
  );
  const requests = new Set(verdicts.flatMap(({ requests: named }) => stringsIn(named)));
  const evidence = lines.filter(
    (line) =>
      line.event === table.crashSuspected.number &&
      line.requestId !== undefined &&
      requests.has(line.requestId) &&
      !own.includes(line),
  );
  return [...verdicts, ...evidence];
}

/** Whether the text names a part or a model as a word of its own. */
function names(text: string, name: unknown): boolean {
  return typeof name === 'string' && text.split(/[\s,;]+/).includes(name);
}

function stringsIn(found: unknown): readonly string[] {
  return Array.isArray(found) ? found.map(String) : [];
}

function timeOf({ time }: JournalLine): number {
  return Date.parse(time);
}

function tookMs({ tookMs: took }: JournalLine): number {
  return typeof took === 'number' ? took : 0;
}

function upstreamsOf({ upstream, upstreams }: JournalLine): readonly string[] {
  if (typeof upstream === 'string') return [upstream];
  return stringsIn(upstreams);
}
