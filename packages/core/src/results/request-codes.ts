/** Result codes of requests: 1xxx the request, 2xxx capacity, 3xxx effect-once. */
import type * as code from './code.js';

/** A request that needs a credential carries none, or a wrong one. */
const unauthorized: code.Code = {
  number: 1001,
  status: 401,
  title: 'credential missing or unknown',
  hint: 'Send the client account’s credential as `Authorization: Bearer`.',
};
/** The service is not configured, or not for this client account. */
const unknownService: code.Code = {
  number: 1002,
  status: 404,
  title: 'unknown service',
  hint: 'Check the service’s name with the operators.',
};
/** The request cannot be decoded. */
const malformedRequest: code.Code = {
  number: 1003,
  status: 400,
  title: 'malformed request',
  hint: 'The message names the field, what was expected and what was found.',
};
/** The body is larger than the configured limit. */
const bodyTooLarge: code.Code = {
  number: 1004,
  status: 413,
  title: 'body too large',
  hint: 'Send less, or ask the operators to raise `limits.maxBodyBytes`.',
};
/** A stream to be resumed is not known any more. */
const unknownRun: code.Code = {
  number: 1005,
  status: 404,
  title: 'unknown run',
  hint: 'The run has ended too long ago to be resumed; send the prompt again.',
};
/** No route matches the host and path, and the routing table is known to be the newest. */
const unknownRoute: code.Code = {
  number: 1006,
  status: 404,
  title: 'unknown route',
  hint: 'Check host and path with the operators.',
};
/** The header block is larger than the configured limit. */
const headersTooLarge: code.Code = {
  number: 1007,
  status: 431,
  title: 'headers too large',
  hint: 'Send less, or ask the operators to raise the limit.',
};
/** Too much work is waiting or running. */
const overloaded: code.Code = {
  number: 2001,
  status: 503,
  title: 'too much work',
  hint: 'Not run. Retry after the time in `Retry-After`.',
};
/** No upstream of the service may take work now. */
const noUpstream: code.Code = {
  number: 2002,
  status: 503,
  title: 'no upstream available',
  hint: 'Not run. Retry after the time in `Retry-After`.',
};
/** No answer came within the route's or the caller's time; the request may have run. */
const outOfTime: code.Code = {
  number: 2005,
  status: 504,
  title: 'no answer in time',
  hint: 'The request may have run. Look up its id in the journal before sending it again.',
};
/** No upstream took the request within the route's or the caller's time. */
const notStartedInTime: code.Code = {
  number: 2006,
  status: 503,
  title: 'not started in time',
  hint: 'Not run. Retry after the time in `Retry-After`.',
};
/** The caller's deadline cannot be met. */
const deadlineUnreachable: code.Code = {
  number: 2003,
  status: 503,
  title: 'deadline cannot be met',
  hint: 'Not run. Allow more time or retry later.',
};
/** The instance is leaving and takes no new work. */
const leaving: code.Code = {
  number: 2004,
  status: 503,
  title: 'instance is leaving',
  hint: 'Not run. Connect again; the balancer chooses another instance.',
};
/** The right to send to a cold upstream lapsed before the send. */
const coldRightLapsed: code.Code = {
  number: 2101,
  status: 503,
  title: 'right to a cold upstream lapsed',
  hint: 'Not run there. The prompt is placed again; nothing needs to be done.',
};
/** A request with the same key is running now. */
const inProgress: code.Code = {
  number: 3001,
  status: 409,
  title: 'request with this key is in progress',
  hint: 'Retry with the same key to get its recorded answer.',
};
/** Whether the request ran cannot be known. */
const outcomeUnknown: code.Code = {
  number: 3002,
  status: 502,
  title: 'outcome unknown',
  hint: 'The request may have run. Read the service’s records before sending it under a new key.',
};
/** The key was used before with another body. */
const keyReused: code.Code = {
  number: 3003,
  status: 422,
  title: 'key used for another request',
  hint: 'Use a new key for each request.',
};
/** The claim could not be recorded, so the request was not sent. */
const claimUnavailable: code.Code = {
  number: 3004,
  status: 503,
  title: 'claim could not be recorded',
  hint: 'Not run. Retry with the same key.',
};
/** The key is older than the retention of claims. */
const keyExpired: code.Code = {
  number: 3005,
  status: 422,
  title: 'key older than the retention',
  hint: 'Not run. Use a new key.',
};
/** The key's own time lies ahead of the instance's clock. */
const keyFromFuture: code.Code = {
  number: 3101,
  status: 422,
  title: 'key’s time is in the future',
  hint: 'Not run. Check the clock of the machine that made the key.',
};
/** The request ran; its answer was larger than what is kept. */
const answerNotKept: code.Code = {
  number: 3102,
  status: 409,
  title: 'ran, but its answer was not kept',
  hint: 'Do not send it again. Read the service’s records for the result.',
};

export const requestCodes = {
  unauthorized,
  unknownService,
  malformedRequest,
  bodyTooLarge,
  unknownRun,
  unknownRoute,
  headersTooLarge,
  overloaded,
  noUpstream,
  outOfTime,
  notStartedInTime,
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
} as const satisfies Record<string, code.Code>;
