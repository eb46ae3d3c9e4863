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

/** `request`: a line of the request itself; the others are about its instance and its upstreams. */
export type RelatedLine = { line: JournalLine; about: 'request' | 'upstream' | 'instance' };

const { catalogue: table } = catalogue;
/** Events about an instance's state that can affect the outcome of a request. */
const INSTANCE_EVENTS: ReadonlySet<number> = new Set(
  [
    table.tableAdopted,
    table.readinessChanged,
    table.weightsNamed,
    table.dataCentresEvacuated,
    table.dependencyLost,
    table.dependencyBack,
    table.instanceStarted,
    table.instanceLeaving,
    table.linesDropped,
  ].map(({ number }) => number),
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
  ];
  return [...explained].sort((a, b) => timeOf(a.line) - timeOf(b.line));
}

function timeOf({ time }: JournalLine): number {
  return Date.parse(time);
}

function tookMs({ tookMs: took }: JournalLine): number {
  return typeof took === 'number' ? took : 0;
}

function upstreamsOf({ upstream, upstreams }: JournalLine): readonly string[] {
  if (typeof upstream === 'string') return [upstream];
  return Array.isArray(upstreams) ? upstreams.map(String) : [];
}
