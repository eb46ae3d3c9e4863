/* eslint-disable @stylistic/max-len, @stylistic/object-curly-newline -- a script that runs step by step, formatted by Prettier */
/** What the operator and the replicas of a small deployment write into the store. */
export const HOST = 'serra.example';
export const KEY = 'banfqasnmgkcuyj8pjbv';
export const TENANT = 'mile980';
export const MODEL = 'daka510000';

const ROUTE = {
  host: HOST,
  priority: 1,
  anonymous: false,
  sticky: false,
};

/** Services `dispatch` (plain) and `brief-models` (engines), with the routes of the sheet. */
export function configuration(version, changes = {}) {
  return {
    version,
    routes: [
      {
        ...ROUTE,
        name: 'book-placement',
        pathPrefix: '/book/',
        routeType: 'unsafe',
        timeoutMs: 15_000,
        targetLatencyMs: 100,
        attempts: 1,
        service: 'dispatch',
      },
      {
        ...ROUTE,
        name: 'read-log',
        pathPrefix: '/log/',
        routeType: 'safe',
        timeoutMs: 15_000,
        targetLatencyMs: 2_000,
        attempts: 2,
        service: 'dispatch',
      },
      {
        ...ROUTE,
        name: 'route-brief',
        pathPrefix: '/brief/',
        routeType: 'streaming',
        timeoutMs: 15_000,
        targetLatencyMs: 800,
        attempts: 2,
        service: 'brief-models',
        sticky: true,
        resumable: true,
        gapTargetMs: 300,
      },
    ],
    services: [
      {
        name: 'dispatch',
        healthPath: '/health',
        maxConns: 100,
        coldStartS: 0,
        coldPerS: 0,
      },
      {
        name: 'brief-models',
        healthPath: '/health',
        maxConns: 360,
        coldStartS: 3,
        coldPerS: 14,
        engine: {
          slots: 64,
          kvCapacity: 95_715,
          kvTokenBytes: 163_840,
          linkMbps: 180_000,
        },
      },
    ],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
    tenants: [{ name: TENANT, apiKeys: [KEY], priority: 1 }],
    ...changes,
  };
}

/** The entry of a replica. */
export function entry({ address, service, zone = 'covilha', born, models = [] }, seq, changes) {
  return {
    service,
    address,
    zone,
    version: 'v1',
    slots: service === 'dispatch' ? 6 : 64,
    state: 'ready',
    coldRemainingMs: 0,
    stage: 'both',
    models,
    seq,
    born,
    ...changes,
  };
}

/** Headers of a proper request. */
export function headersOf(id, deadlineMs, more = {}) {
  return {
    host: HOST,
    'x-medlarweir-request-id': id,
    'x-medlarweir-deadline-ms': String(deadlineMs),
    'x-medlarweir-credential': KEY,
    ...more,
  };
}

export function promptHeaders(parts, output = 10) {
  const tokens = parts.reduce((sum, [, count]) => sum + count, 0);
  return {
    'x-medlarweir-model': MODEL,
    'x-medlarweir-token-usage': `${tokens},${output}`,
    'x-medlarweir-prompt-prefix': parts.map(([part, count]) => `${part}:${count}`).join(','),
  };
}
