/**
 * The settings of an entry instance: a schema with defaults. Flags take precedence over the
 * environment.
 */
import * as zod from 'zod';

import * as address from './address.js';
import * as flags from './flags.js';
import * as limits from './limits.js';

export const settingsSchema = zod.strictObject({
  name: zod
    .string()
    .regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'expected lower-case letters, digits, -')
    .describe('name of the instance, unique in the deployment'),
  dataCentre: zod.string().min(1).describe('data centre of the instance'),
  callers: address.hostAndAnyPort
    .default('127.0.0.1:8080')
    .describe('address on which callers connect (HOST:PORT); port 0 selects a free port'),
  peers: address.hostAndAnyPort
    .default('127.0.0.1:8081')
    .describe('address on which other instances and operators connect (HOST:PORT)'),
  platform: address.hostAndPort.describe('address of the platform’s object API (HOST:PORT)'),
  seeds: zod
    .string()
    .transform((text) => text.split(',').filter((each) => each !== ''))
    .pipe(zod.array(address.hostAndPort))
    .optional()
    .describe(
      'a few peers (HOST:PORT, separated by commas) to ask if the platform is unavailable at start',
    ),
  deploymentKey: zod
    .string()
    .min(16)
    .describe('secret of at least 16 characters that all instances of the deployment share'),
  otherDeploymentKey: zod
    .string()
    .min(16)
    .optional()
    .describe('second key during key rotation: accepted from other instances, never sent'),
  statsd: address.hostAndPort
    .optional()
    .describe('address to which metrics are sent (StatsD over UDP, HOST:PORT); not sent if absent'),
  logLevel: zod
    .enum(['debug', 'info', 'warn', 'error'])
    .default('info')
    .describe('minimum level of journal events: debug, info, warn or error'),
  graceMs: zod.coerce
    .number()
    .int()
    .min(0)
    .max(600_000)
    .default(30_000)
    .describe(
      'time from SIGTERM until the process is killed: late requests that need longer are refused, in ms',
    ),
  memoryMb: limits.memoryMb,
  callerMemoryMb: limits.callerMemoryMb,
  maxConnections: limits.maxConnections,
  maxDescriptors: limits.maxDescriptors,
  balancerLagMs: zod.coerce
    .number()
    .int()
    .min(0)
    .max(60_000)
    .default(1_000)
    .describe(
      'time for which a draining instance still accepts connections (the balancer’s lag), in ms',
    ),
});

export type Settings = zod.infer<typeof settingsSchema>;
export type SettingName = keyof Settings;

/** Settings whose values never appear in a dump or a log. */
export const SECRET_SETTINGS: readonly SettingName[] = ['deploymentKey', 'otherDeploymentKey'];

export const entryFlags = flags.create(settingsSchema, SECRET_SETTINGS);

export const { describe, parse } = entryFlags;
export const settingNames = entryFlags.names as readonly SettingName[];
