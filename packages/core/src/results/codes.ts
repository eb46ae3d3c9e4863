/**
 * Every numbered result code, in one place. `docs/CODES.md` is made from this table.
 * 1xxx: the request; 2xxx: capacity; 3xxx: effect-once; 4xxx: upstreams and stores;
 * 5xxx: the platform and configuration; 6xxx: operators and settings.
 */
/** What a code means to callers and operators. */
export type Code = {
  number: number;
  /** HTTP status where the code reaches a caller. */
  status: number;
  title: string;
  hint: string;
};

/** A request that needs a credential carries none, or a wrong one. */
const unauthorized: Code = {
  number: 1001,
  status: 401,
  title: 'credential missing or unknown',
  hint: 'Send the client account’s credential as `Authorization: Bearer`.',
};
/** The service is not configured, or not for this client account. */
const unknownService: Code = {
  number: 1002,
  status: 404,
  title: 'unknown service',
  hint: 'Check the service’s name with the operators.',
};
/** The request cannot be decoded. */
const malformedRequest: Code = {
  number: 1003,
  status: 400,
  title: 'malformed request',
  hint: 'The message names the field, what was expected and what was found.',
};
/** The body is larger than the configured limit. */
const bodyTooLarge: Code = {
  number: 1004,
  status: 413,
  title: 'body too large',
  hint: 'Send less, or ask the operators to raise `limits.maxBodyBytes`.',
};
/** A stream to be resumed is not known any more. */
const unknownRun: Code = {
  number: 1005,
  status: 404,
  title: 'unknown run',
  hint: 'The run has ended too long ago to be resumed; send the prompt again.',
};
/** Too much work is waiting or running. */
const overloaded: Code = {
  number: 2001,
  status: 503,
  title: 'too much work',
  hint: 'Not run. Retry after the time in `Retry-After`.',
};
/** No upstream of the service may take work now. */
const noUpstream: Code = {
  number: 2002,
  status: 503,
  title: 'no upstream available',
  hint: 'Not run. Retry after the time in `Retry-After`.',
};
/** The caller's deadline cannot be met. */
const deadlineUnreachable: Code = {
  number: 2003,
  status: 503,
  title: 'deadline cannot be met',
  hint: 'Not run. Allow more time or retry later.',
};
/** The instance is leaving and takes no new work. */
const leaving: Code = {
  number: 2004,
  status: 503,
  title: 'instance is leaving',
  hint: 'Not run. Connect again; the balancer chooses another instance.',
};
/** The right to send to a cold upstream lapsed before the send. */
const coldRightLapsed: Code = {
  number: 2101,
  status: 503,
  title: 'right to a cold upstream lapsed',
  hint: 'Not run there. The prompt is placed again; nothing needs to be done.',
};
/** A request with the same key is running now. */
const inProgress: Code = {
  number: 3001,
  status: 409,
  title: 'request with this key is in progress',
  hint: 'Retry with the same key to get its recorded answer.',
};
/** Whether the request ran cannot be known. */
const outcomeUnknown: Code = {
  number: 3002,
  status: 502,
  title: 'outcome unknown',
  hint: 'The request may have run. Read the service’s records before sending it under a new key.',
};
/** The key was used before with another body. */
const keyReused: Code = {
  number: 3003,
  status: 422,
  title: 'key used for another request',
  hint: 'Use a new key for each request.',
};
/** The claim could not be recorded, so the request was not sent. */
const claimUnavailable: Code = {
  number: 3004,
  status: 503,
  title: 'claim could not be recorded',
  hint: 'Not run. Retry with the same key.',
};
/** The key is older than the retention of claims. */
const keyExpired: Code = {
  number: 3005,
  status: 422,
  title: 'key older than the retention',
  hint: 'Not run. Use a new key.',
};
/** The key's own time lies ahead of the instance's clock. */
const keyFromFuture: Code = {
  number: 3101,
  status: 422,
  title: 'key’s time is in the future',
  hint: 'Not run. Check the clock of the machine that made the key.',
};
/** The request ran; its answer was larger than what is kept. */
const answerNotKept: Code = {
  number: 3102,
  status: 409,
  title: 'ran, but its answer was not kept',
  hint: 'Do not send it again. Read the service’s records for the result.',
};
/** The upstream could not be reached at all. */
const upstreamUnreachable: Code = {
  number: 4001,
  status: 502,
  title: 'upstream unreachable',
  hint: 'Not run. Retry.',
};
/** The budget of retries is used up. */
const retriesExhausted: Code = {
  number: 4151,
  status: 503,
  title: 'too many retries',
  hint: 'Many requests fail at the moment. Retry later; `run` says whether this one ran.',
};
/** The upstream answered with something that cannot be decoded. */
const upstreamMalformed: Code = {
  number: 4002,
  status: 502,
  title: 'upstream’s answer is malformed',
  hint: 'Look at the upstream’s log.',
};
/** The upstream refused and vouches that it did not run the request. */
const upstreamRefused: Code = {
  number: 4003,
  status: 503,
  title: 'upstream refused',
  hint: 'Not run. Retry later.',
};
/** The run broke off and could not be resumed. */
const runLost: Code = {
  number: 4004,
  status: 502,
  title: 'run lost',
  hint: 'Send the prompt again.',
};
/** A store's answer did not pass the checks of a safe read. */
const unsafeRead: Code = {
  number: 4005,
  status: 502,
  title: 'stored piece failed its checks',
  hint: 'The piece is recomputed; nothing needs to be done.',
};
/** An import was broken off because recomputing had become faster. */
const importLate: Code = {
  number: 4101,
  status: 503,
  title: 'import would be late',
  hint: 'The context is recomputed; look at the store’s link if it happens often.',
};
/** The platform does not answer; whether a write took effect is not known. */
const platformUnavailable: Code = {
  number: 5001,
  status: 503,
  title: 'platform unavailable',
  hint: 'Requests that need no claim go on; keyed requests are refused until it is back.',
};
/** The platform answered with something that cannot be decoded. */
const platformMalformed: Code = {
  number: 5002,
  status: 502,
  title: 'platform’s object is malformed',
  hint: 'The message names the key and the field; the last good state stays in force.',
};
/** Another writer was first. */
const conflict: Code = {
  number: 5003,
  status: 409,
  title: 'changed by another writer',
  hint: 'Look at both versions and apply the change again.',
};
/** A change was sent, and no answer tells whether it took effect. */
const changeUnknown: Code = {
  number: 5101,
  status: 503,
  title: 'change may have taken effect',
  hint: 'Look at `medlarctl history` once the platform answers; do not assume either end.',
};
/** A setting, an answer or a configuration field is wrong. */
const invalidInput: Code = {
  number: 6001,
  status: 400,
  title: 'invalid input',
  hint: 'The message names the field, what was expected and what was found.',
};
/** The instance has no configuration yet. */
const notConfigured: Code = {
  number: 6002,
  status: 503,
  title: 'no configuration yet',
  hint: 'Not run. Apply a configuration, or wait until the instance has learned it.',
};
/** The operator's tool does not know the command. */
const unknownCommand: Code = {
  number: 6003,
  status: 400,
  title: 'unknown command',
  hint: 'See `medlarctl --help`.',
};

/** The operator did not agree to a change, or could not be asked. */
const declined: Code = {
  number: 6141,
  status: 409,
  title: 'declined',
  hint: 'Nothing was changed. Answer yes, or agree beforehand with `--yes`.',
};
/** A command of the operator's tool lacks a word or a flag. */
const wrongUse: Code = {
  number: 6142,
  status: 400,
  title: 'wrong use',
  hint: 'See `medlarctl --help`.',
};
/** The platform's list has no instance of this name. */
const unknownInstance: Code = {
  number: 6143,
  status: 404,
  title: 'unknown instance',
  hint: 'The platform’s list lags; look at `medlarctl status`.',
};
/** An instance does not answer, or refuses the deployment's key. */
const instanceUnreachable: Code = {
  number: 6144,
  status: 502,
  title: 'instance does not answer',
  hint: 'Look at the instance’s journal, and at the deployment key.',
};

export const table = {
  unauthorized,
  unknownService,
  malformedRequest,
  bodyTooLarge,
  unknownRun,
  overloaded,
  noUpstream,
  deadlineUnreachable,
  leaving,
  coldRightLapsed,
  inProgress,
  outcomeUnknown,
  keyReused,
  claimUnavailable,
  keyExpired,
  keyFromFuture,
  answerNotKept,
  upstreamUnreachable,
  retriesExhausted,
  upstreamMalformed,
  upstreamRefused,
  runLost,
  unsafeRead,
  importLate,
  platformUnavailable,
  platformMalformed,
  conflict,
  changeUnknown,
  invalidInput,
  notConfigured,
  unknownCommand,
  declined,
  wrongUse,
  unknownInstance,
  instanceUnreachable,
} as const satisfies Record<string, Code>;

export type CodeName = keyof typeof table;
