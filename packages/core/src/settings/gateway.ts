/** The settings of a gateway instance on the users' platform. */
import * as zod from 'zod';

import * as address from './address.js';
import * as flags from './flags.js';
import * as limits from './limits.js';

const milliseconds = (fallback: number, text: string) =>
  zod.coerce.number().int().min(0).max(600_000).default(fallback).describe(`${text}, in ms`);
const factor = (fallback: number, text: string) =>
  zod.coerce.number().min(0).max(1_000).default(fallback).describe(text);

/** In cores; beyond any machine's. */
export const MAX_PROCESSOR_SHARE = 1_024;
/** In characters; beyond any list of names that a platform gives. */
const MAX_FEATURES_LENGTH = 4_096;

export const gatewaySchema = zod.strictObject({
  name: zod.string().min(1).describe('name of the instance, unique in the deployment'),
  dataCentre: zod.string().min(1).describe('data centre of the instance'),
  callers: address.hostAndAnyPort.describe('address on which callers connect (HOST:PORT)'),
  readiness: address.hostAndAnyPort.describe(
    'address of the readiness check for the balancer (HOST:PORT)',
  ),
  metrics: address.hostAndAnyPort
    .optional()
    .describe('address on which metrics are served (HOST:PORT); not served if absent'),
  notes: address.hostAndPort
    .optional()
    .describe(
      'address on which peer updates are received (UDP, HOST:PORT); not received if absent',
    ),
  platform: address.hostAndPort.describe('address of the platform’s object store (HOST:PORT)'),
  processorShare: zod.coerce
    .number()
    .min(0)
    .max(MAX_PROCESSOR_SHARE)
    .default(0)
    .describe('share of a core that this machine has; the strongest read for others; 0 if unknown'),
  isFirstStart: zod
    .enum(['true', 'false'])
    .default('false')
    .transform((text) => text === 'true')
    .describe('whether the whole deployment starts for the first time: true or false'),
  logLevel: zod
    .enum(['debug', 'info', 'warn', 'error'])
    .default('info')
    .describe('minimum level of journal events: debug, info, warn or error'),
  revocationMs: milliseconds(5_000, 'longest time that a removed credential is still accepted'),
  adoptionMs: milliseconds(2_000, 'longest time until a new configuration is in force'),
  drainMs: milliseconds(2_000, 'longest time until an upstream that leaves gets no more work'),
  evacuationMs: milliseconds(
    5_000,
    'longest time until an evacuated data centre gets no more work',
  ),
  rolloutMs: milliseconds(8_000, 'longest time that requests may still start on replaced weights'),
  leaseTermMs: milliseconds(3_000, 'term of the lease for sending orders'),
  graceMs: milliseconds(8_000, 'time from SIGTERM until the process is killed'),
  balancerLagMs: milliseconds(
    2_400,
    'time for which a draining instance still accepts connections (the balancer’s lag)',
  ),
  retryWindowMs: milliseconds(10_000, 'time window of the retry budget'),
  retryRatio: factor(0.2, 'retry budget: retries per request, over all instances'),
  retryExtra: factor(50, 'retry budget: additional retries per window, over all instances'),
  coldOverrun: factor(1.5, 'allowed multiple of the rate limit of a cold upstream'),
  memoryMb: limits.memoryMb,
  callerMemoryMb: limits.callerMemoryMb,
  maxConnections: limits.maxConnections,
  maxDescriptors: limits.maxDescriptors,
  coldSlack: factor(5, 'requests per second allowed in addition to that multiple'),
  features: zod
    .string()
    .max(MAX_FEATURES_LENGTH)
    .default('')
    .transform((text) => text.split(',').map((name) => name.trim()))
    .transform((names) => names.filter((name) => name !== ''))
    .describe('names of optional features, separated by commas; unknown ones are ignored'),
  exposureShare: zod.coerce
    .number()
    .min(0)
    .max(1)
    .optional()
    .describe('largest share of requests to an unproven version; no canary releases if absent'),
  exposureSlack: zod.coerce
    .number()
    .min(0)
    .max(1_000_000)
    .optional()
    .describe('requests allowed beyond that share, over all instances; 0 if absent'),
  rollbackMs: zod.coerce
    .number()
    .int()
    .min(0)
    .max(600_000)
    .optional()
    .describe('longest time until a bad version gets no more requests, in ms; 5000 if absent'),
});

export type GatewaySettings = zod.infer<typeof gatewaySchema>;

/** None of the gateway's settings is a secret. */
export const gatewayFlags = flags.create(gatewaySchema, []);
