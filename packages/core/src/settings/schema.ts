/** The settings of an entry instance: one schema with defaults; flags go before the environment. */
import * as neverthrow from 'neverthrow';
import * as zod from 'zod';

import * as results from '../results/index.js';

const hostAndPort = zod.string().regex(/^[^\s:]+:\d{1,5}$/, 'expected HOST:PORT');

export const settingsSchema = zod.strictObject({
  /** Name of the instance, unique in the deployment. */
  name: zod.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'expected lower-case letters, digits, -'),
  /** Data centre in which the instance stands. */
  dataCentre: zod.string().min(1),
  /** Where callers connect. Port 0 asks the system for a free one. */
  callers: hostAndPort.default('127.0.0.1:8080'),
  /** Where other instances and operators connect. */
  peers: hostAndPort.default('127.0.0.1:8081'),
  /** The platform's object API. */
  platform: hostAndPort,
  /** HOST:PORT of a few peers, parted by commas: asked at a start while the platform is down. */
  seeds: zod
    .string()
    .transform((text) => text.split(',').filter((each) => each !== ''))
    .pipe(zod.array(hostAndPort))
    .optional(),
  /** Shared by all instances of the deployment: authenticates them to each other. */
  deploymentKey: zod.string().min(16),
  /** A second key that is accepted from others while keys are rotated; never sent. */
  otherDeploymentKey: zod.string().min(16).optional(),
  /** Where metrics go (StatsD over UDP); none are sent without it. */
  statsd: hostAndPort.optional(),
  logLevel: zod.enum(['debug', 'info', 'warn', 'error']).default('info'),
  /** How long a leaving instance still accepts connections: the balancer's lag. */
  balancerLagMs: zod.coerce.number().int().min(0).max(60_000).default(1_000),
});

export type Settings = zod.infer<typeof settingsSchema>;
export type SettingName = keyof Settings;

/** Settings whose values never appear in a dump or a log. */
export const SECRET_SETTINGS: readonly SettingName[] = ['deploymentKey', 'otherDeploymentKey'];

/** `balancerLagMs` is `--balancer-lag-ms` as a flag. */
export function flagName(name: SettingName): string {
  return name.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`);
}

/** `balancerLagMs` is `MEDLARWEIR_BALANCER_LAG_MS` in the environment. */
export function environmentName(name: SettingName): string {
  return `MEDLARWEIR_${flagName(name).replaceAll('-', '_').toUpperCase()}`;
}

export const settingNames = Object.keys(settingsSchema.shape) as readonly SettingName[];

/** Merges flags over the environment and checks the result. */
export function parse(
  flags: Readonly<Record<string, string | undefined>>,
  environment: Readonly<Record<string, string | undefined>>,
): neverthrow.Result<Settings, results.Failure> {
  const given = settingNames.flatMap((name) => {
    const value = flags[flagName(name)] ?? environment[environmentName(name)];
    return value === undefined ? [] : [[name, value] as const];
  });
  const found = Object.fromEntries(given);
  const checked = settingsSchema.safeParse(found);
  if (checked.success) return neverthrow.ok(checked.data);
  return neverthrow.err(results.failure('invalidInput', explainIssues(checked.error, found)));
}

function explainIssues(error: zod.ZodError, found: Record<string, string>): string {
  const lines = error.issues.map((issue) => {
    const name = issue.path[0] as SettingName;
    const shown = SECRET_SETTINGS.includes(name) ? 'a secret' : JSON.stringify(found[name]);
    const actual = found[name] === undefined ? 'nothing' : shown;
    return `--${flagName(name)} (${environmentName(name)}): ${issue.message}; found ${actual}`;
  });
  return lines.join('\n');
}
