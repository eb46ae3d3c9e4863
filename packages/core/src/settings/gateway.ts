/** The settings of an instance that serves as a gateway on the users' platform. */
import * as zod from 'zod';

import * as address from './address.js';
import * as flags from './flags.js';

const milliseconds = (fallback: number, text: string) =>
  zod.coerce.number().int().min(0).max(600_000).default(fallback).describe(`${text}, in ms`);
const factor = (fallback: number, text: string) =>
  zod.coerce.number().min(0).max(1_000).default(fallback).describe(text);

export const gatewaySchema = zod.strictObject({
  name: zod.string().min(1).describe('name of the instance, unique in the deployment'),
  dataCentre: zod.string().min(1).describe('data centre in which the instance stands'),
  callers: address.hostAndPort.describe('where callers connect (HOST:PORT)'),
  readiness: address.hostAndPort.describe('where the balancer asks for readiness (HOST:PORT)'),
  metrics: address.hostAndPort
    .optional()
    .describe('where metrics are served (HOST:PORT); none without it'),
  notes: address.hostAndPort
    .optional()
    .describe('where other instances tell of their work (UDP, HOST:PORT); none without it'),
  platform: address.hostAndPort.describe('the platform’s object store (HOST:PORT)'),
  logLevel: zod
    .enum(['debug', 'info', 'warn', 'error'])
    .default('info')
    .describe('least level of the journal: debug, info, warn or error'),
  revocationMs: milliseconds(5_000, 'how long a removed credential may still be served'),
  adoptionMs: milliseconds(2_000, 'how soon a configuration is in force'),
  rolloutMs: milliseconds(8_000, 'how long requests may begin on replaced weights'),
  leaseTermMs: milliseconds(3_000, 'term of the lease for orders'),
  graceMs: milliseconds(8_000, 'time from SIGTERM until the process is killed'),
  retryWindowMs: milliseconds(10_000, 'window of the retry budget'),
  retryRatio: factor(0.2, 'retries for each request, all instances together'),
  retryExtra: factor(50, 'retries besides, all instances together'),
  coldOverrun: factor(1.5, 'factor on the rate that a cold upstream bears'),
  coldSlack: factor(5, 'requests a second beyond that factor'),
});

export type GatewaySettings = zod.infer<typeof gatewaySchema>;

/** The gateway has no secrets among its settings. */
export const gatewayFlags = flags.create(gatewaySchema, []);
