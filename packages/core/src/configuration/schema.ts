/**
 * The schema of the configuration that operators generate and instances adopt.
 * A number without a unit in its name is a count.
 */
import * as zod from 'zod';

const name = zod
  .string()
  .regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'expected lower-case letters, digits, -');
const address = zod.string().regex(/^[^\s:/]+:\d{1,5}$/, 'expected HOST:PORT');

/** `out`: taken out of service by operators; it gets no new work. */
const presence = zod.enum(['in', 'out']);

const dataCentre = zod.strictObject({
  name,
  region: name,
  presence: presence.default('in'),
});

const clientAccount = zod.strictObject({
  name,
  /** SHA-256 of the bearer credential, in hexadecimal. */
  credentialDigest: zod.string().regex(/^[0-9a-f]{64}$/, 'expected 64 hexadecimal digits'),
  /** Secret for the names of this account's pieces, so that other accounts cannot derive them. */
  contextSecret: zod.string().min(32),
  /** Relative weight of the account when requests are queued. */
  share: zod.number().positive().default(1),
});

/** `short` precedes `long` in queues and on links. */
const priority = zod.enum(['short', 'normal', 'long']);

const modelService = zod.strictObject({
  kind: zod.literal('model'),
  name,
  model: name,
  adapter: zod.string().default(''),
  /** New requests use only cache blocks of this version. */
  weightVersion: zod.string().min(1),
  priority: priority.default('normal'),
  /** Weights of placement: time to first token against recomputed tokens. */
  weights: zod
    .strictObject({
      firstToken: zod.number().min(0).default(1),
      recompute: zod.number().min(0).default(1),
    })
    .prefault({}),
  /** A run without progress for this long is resumed on another upstream. */
  progressTimeoutMs: zod.number().int().positive().default(5_000),
  /** Deadline for the first token. */
  deadlineMs: zod.number().int().positive().default(60_000),
});

const plainService = zod.strictObject({
  kind: zod.literal('plain'),
  name,
  priority: priority.default('normal'),
  /** Methods that may be retried without an idempotency key. */
  safeMethods: zod.array(zod.string()).default(['GET', 'HEAD']),
  timeoutMs: zod.number().int().positive().default(10_000),
});

const service = zod.discriminatedUnion('kind', [modelService, plainService]);

const upstream = zod.strictObject({
  name,
  kind: zod.enum(['engine', 'plain']),
  address,
  dataCentre: name,
  /** Names of the services that this upstream serves. */
  services: zod.array(name).min(1),
  /** Maximum concurrent requests when warm. */
  slots: zod.number().int().positive().default(8),
  /** Maximum concurrent requests during a cold start, summed over all instances. */
  coldSlots: zod.number().int().positive().default(2),
  prefillTokensPerS: zod.number().positive().default(8_000),
  /** Whether the upstream refuses orders that carry an old fencing token. */
  checksFencing: zod.boolean().default(false),
  presence: presence.default('in'),
});

const store = zod.strictObject({
  name,
  address,
  dataCentre: name,
  memoryBytes: zod.number().int().positive(),
  diskBytes: zod.number().int().nonnegative(),
  /** Bandwidth of the link between the store and the engines. */
  linkBytesPerS: zod.number().positive(),
  presence: presence.default('in'),
});

const limits = zod.strictObject({
  maxBodyBytes: zod.number().int().positive().default(4_000_000),
  /** Maximum concurrent requests of one instance, queued or running. */
  maxRequests: zod.number().int().positive().default(2_000),
  /** Retention of recorded answers. */
  claimRetentionMs: zod.number().int().positive().default(86_400_000),
  /** Bytes of cached context per token. */
  contextBytesPerToken: zod.number().positive().default(65_536),
});

export const configurationSchema = zod.strictObject({
  generation: zod.number().int().nonnegative(),
  dataCentres: zod.array(dataCentre).min(1),
  clientAccounts: zod.array(clientAccount),
  services: zod.array(service),
  upstreams: zod.array(upstream),
  stores: zod.array(store),
  limits: limits.prefault({}),
});

/** Entry schema of each list. Entries are identified by `name`. */
export const entrySchemas = {
  dataCentres: dataCentre,
  clientAccounts: clientAccount,
  services: service,
  upstreams: upstream,
  stores: store,
} as const;

export const limitsSchema = limits;

export type ListName = keyof typeof entrySchemas;
export const LIST_NAMES = Object.keys(entrySchemas) as readonly ListName[];

export type Configuration = zod.infer<typeof configurationSchema>;
export type DataCentre = zod.infer<typeof dataCentre>;
export type ClientAccount = zod.infer<typeof clientAccount>;
export type Service = zod.infer<typeof service>;
export type ModelService = zod.infer<typeof modelService>;
export type PlainService = zod.infer<typeof plainService>;
export type Upstream = zod.infer<typeof upstream>;
export type Store = zod.infer<typeof store>;
export type Priority = zod.infer<typeof priority>;
export type Presence = zod.infer<typeof presence>;
