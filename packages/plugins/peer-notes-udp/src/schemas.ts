/**
 * The bodies of the datagrams. Compact arrays, because updates cross the links between data centres
 * many times a second.
 */
import * as zod from 'zod';

/** Token count that marks a part which the store no longer holds. */
export const GONE_TOKENS = -1;

/** Beyond what instances send. */
const MAX_NAME_LENGTH = 1_024;
const MAX_BINS = 64;
const MAX_CELLS = 64;

const amount = zod.number().nonnegative().max(Number.MAX_SAFE_INTEGER);
const nullableNumber = amount.nullable();

/** Upstream, unread tokens, prompt tokens, requests. */
const workRow = zod.tuple([zod.string(), amount, amount, amount]);
/** Upstream, salt, part ids. */
const sentRow = zod.tuple([zod.string(), zod.string(), zod.array(zod.string())]);
/** Incarnation, monotonic and wall time of the sender's question. */
const question = zod.tuple([zod.string(), zod.number(), zod.number()]);
/** Kind of objects, revision, revision of the last change, age in ms. */
const position = zod.tuple([zod.string(), amount, amount, amount]);
/** Part id and tokens; `GONE_TOKENS` for a part that the store no longer holds. */
const partRow = zod.tuple([zod.string(), zod.union([zod.literal(GONE_TOKENS), amount])]);
/** Store, epoch, clock, and the changes of each salt; without an epoch, the store does not answer. */
const storeRow = zod.tuple([
  zod.string(),
  nullableNumber,
  nullableNumber,
  zod.array(zod.tuple([zod.string(), zod.array(partRow)])),
]);
/** Key, version, value, write id, status. */
const objectRow = zod.tuple([
  zod.string(),
  amount,
  zod.unknown(),
  zod.string(),
  // Left out if there is none, as in rows of releases that do not know it.
  zod.unknown().optional(),
]);

/** Model and part id. */
const partOfModelRow = zod.tuple([zod.string(), zod.string()]);
/** Crash, upstream, request id, client account, model, part ids, whether a head had come, age in ms. */
const suspectRow = zod.tuple([
  zod.string(),
  zod.string(),
  zod.string(),
  zod.string(),
  zod.string(),
  zod.array(zod.string()),
  zod.boolean(),
  amount,
]);
/** Upstream and request id. */
const crashRow = zod.tuple([zod.string(), zod.string()]);
/** Model, part id, client accounts, crashes, wall time in ms, trials, companions. */
const verdictRow = zod.tuple([
  zod.string(),
  zod.string(),
  zod.array(zod.string()),
  zod.array(crashRow),
  amount,
  zod.number().int().nonnegative(),
  // Left out if there are none, as in rows of releases that do not know them.
  zod.array(zod.string()).optional(),
]);
/** Suspects, cleared parts, verdicts. */
const quarantineRows = zod.tuple([
  zod.array(suspectRow),
  zod.array(partOfModelRow),
  zod.array(verdictRow),
]);

/** Upstream, and how many instances of each data centre have found it silent. */
const silenceRow = zod.tuple([
  zod.string(),
  zod.array(zod.tuple([zod.string(), zod.number().int().positive()])),
]);
/** Instances tell fewer. */
const MAX_SILENCE_ROWS = 100;
/** Upstream, factor in percent, samples in tenths; slowdown in percent and its age in ms, if known. */
const speedRow = zod.union([
  zod.tuple([zod.string(), amount, amount]),
  zod.tuple([zod.string(), amount, amount, amount, amount]),
]);
/** A datagram that fits into one packet has room for fewer. */
const MAX_SPEED_ROWS = 100;
/** Most services, and most client accounts of one service, that an update may hold. */
const MAX_USAGE_SERVICES = 16;
const MAX_USAGE_ACCOUNTS = 64;
const MAX_ACCOUNT_KEY_LENGTH = 16;
/** Client account, used and refused work. */
const usageRow = zod.tuple([zod.string().max(MAX_ACCOUNT_KEY_LENGTH), amount, amount]);
/** Service, the largest accounts, and of the others their number, used and refused work. */
const serviceUsageRow = zod.tuple([
  zod.string(),
  zod.array(usageRow).max(MAX_USAGE_ACCOUNTS),
  zod.tuple([zod.number().int().nonnegative(), amount, amount]),
]);
const count = zod
  .number()
  .int()
  .nonnegative()
  .max(2 ** 31);
/** Responses, failures, first bin of latencies, counts from that bin on. */
const countsRow = zod.tuple([
  count,
  count,
  zod.number().int().nonnegative().max(MAX_BINS),
  zod.array(count).max(MAX_BINS),
]);
/** Name, counts of the new version and of the old one. */
const cellRow = zod.tuple([zod.string().max(MAX_NAME_LENGTH), countsRow, countsRow]);
/** Service, version, step, is bad, age, instances, step in force, requests at the old version, cells. */
const releaseRow = zod.tuple([
  zod.string().max(MAX_NAME_LENGTH),
  zod.string().max(MAX_NAME_LENGTH),
  count,
  zod.boolean(),
  amount,
  count,
  count,
  count,
  zod.array(cellRow).max(MAX_CELLS),
]);
/** Scope, releases. */
const canaryRows = zod.tuple([zod.enum(['own', 'group', 'fleet']), zod.array(releaseRow)]);

/** By kind, so that an update is checked against one schema only. */
const bodies = {
  /** Kind, sender, incarnation, send time, scope, instances, is a snapshot, work, sent parts. */
  work: zod.tuple([
    zod.literal('work'),
    zod.string(),
    zod.string(),
    amount,
    zod.enum(['own', 'group', 'fleet']),
    zod.number().int().positive(),
    zod.boolean(),
    zod.array(workRow),
    zod.array(sentRow),
  ]),
  /** Kind, sender, scope, rows. */
  silence: zod.tuple([
    zod.literal('silence'),
    zod.string(),
    zod.enum(['own', 'group', 'fleet']),
    zod.array(silenceRow).max(MAX_SILENCE_ROWS),
  ]),
  /** Kind, sender, scope, rows. */
  speeds: zod.tuple([
    zod.literal('speeds'),
    zod.string(),
    zod.enum(['own', 'group', 'fleet']),
    zod.array(speedRow).max(MAX_SPEED_ROWS),
  ]),
  /** Kind, sender, incarnation, send time, scope, usage by service. */
  usage: zod.tuple([
    zod.literal('usage'),
    zod.string(),
    zod.string(),
    amount,
    zod.enum(['own', 'group', 'fleet']),
    zod.array(serviceUsageRow).max(MAX_USAGE_SERVICES),
  ]),
  quarantine: zod.tuple([zod.literal('quarantine'), zod.string(), quarantineRows]),
  canary: zod.tuple([zod.literal('canary'), zod.string(), canaryRows]),
  stores: zod.tuple([zod.literal('stores'), zod.string(), zod.array(storeRow)]),
  question: zod.tuple([zod.literal('question'), zod.string(), question]),
  answer: zod.tuple([zod.literal('answer'), zod.string(), question, zod.array(position)]),
  /** Kind, sender, kind of objects, since, revision, objects, removed keys. */
  changes: zod.tuple([
    zod.literal('changes'),
    zod.string(),
    zod.string(),
    amount,
    amount,
    zod.array(objectRow),
    zod.array(zod.string()),
  ]),
};

const kinds = zod.tuple([
  zod.enum([
    'work',
    'silence',
    'speeds',
    'usage',
    'quarantine',
    'canary',
    'stores',
    'question',
    'answer',
    'changes',
  ]),
]);
const anyBody = kinds.rest(zod.unknown());

export type Body = zod.infer<(typeof bodies)[keyof typeof bodies]>;

export function parse(found: unknown): Body | undefined {
  const checked = anyBody.safeParse(found);
  return checked.success ? bodies[checked.data[0]].safeParse(found).data : undefined;
}

export type UsageTuple = zod.infer<typeof bodies.usage>;
export type QuestionTuple = zod.infer<typeof question>;
export type QuarantineRows = zod.infer<typeof quarantineRows>;
export type SuspectRow = zod.infer<typeof suspectRow>;
export type VerdictRow = zod.infer<typeof verdictRow>;
export type SilenceBody = zod.infer<(typeof bodies)['silence']>;
export type SpeedRow = zod.infer<typeof speedRow>;
export type SpeedBody = zod.infer<(typeof bodies)['speeds']>;
export type CanaryRows = zod.infer<typeof canaryRows>;
export type ReleaseRow = zod.infer<typeof releaseRow>;
export type CellRow = zod.infer<typeof cellRow>;
export type CountsRow = zod.infer<typeof countsRow>;
export type StoreTuple = zod.infer<typeof storeRow>;
