/**
 * Every numbered result code. `docs/CODES.md` is made from this table.
 * 1xxx: the request; 2xxx: capacity; 3xxx: effect-once; 4xxx: upstreams and stores;
 * 5xxx: the platform and configuration; 6xxx: operators and settings.
 */
import * as requestCodes from './request-codes.js';
import * as systemCodes from './system-codes.js';

export const resultCodes = { ...requestCodes.requestCodes, ...systemCodes.systemCodes } as const;

export type CodeName = keyof typeof resultCodes;
