/**
 * The table of all result codes, from which `docs/CODES.md` is generated.
 * 1xxx: the request; 2xxx: capacity; 3xxx: idempotency keys; 4xxx: upstreams and stores;
 * 5xxx: the platform and configuration; 6xxx: operators and settings.
 */
import * as requestCodes from './request-codes.js';
import * as systemCodes from './system-codes.js';

export const resultCodes = { ...requestCodes.requestCodes, ...systemCodes.systemCodes } as const;

export type CodeName = keyof typeof resultCodes;
