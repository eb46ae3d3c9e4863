/** Result codes of requests: 1xxx the request, 2xxx capacity, 3xxx idempotency keys. */
import type * as code from './code.js';

/** The request needs a credential and has none, or an unknown one. */
const unauthorized: code.Code = {
  number: 1001,
  status: 401,
  title: 'credential missing or unknown',
  hint: 'Send the client account’s credential as `Authorization: Bearer`.',
};
/** The service is not configured, or this client account may not use it. */
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
/** The run whose stream the caller wants to resume is no longer known. */
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
/** No upstream of the service can accept work now. */
const noUpstream: code.Code = {
  number: 2002,
  status: 503,
  title: 'no upstream available',
  hint: 'Not run. Retry after the time in `Retry-After`.',
};
/** No answer arrived before the route's or the caller's deadline, or the end of the grace; the request may have run. */
const outOfTime: code.Code = {
  number: 2005,
  status: 504,
  title: 'no answer in time',
  hint: 'The request may have run. Look up its id in the journal before sending it again.',
};
/** No upstream accepted the request before the route's or the caller's deadline. */
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
/** The instance is draining, and the request cannot be sure to end before it stops. */
const leaving: code.Code = {
  number: 2004,
  status: 503,
  title: 'instance is leaving',
  hint: 'Not run. Connect again; the balancer chooses another instance.',
};
/** The request, or a part of its prompt, crashed upstreams repeatedly and is kept from them. */
const promptQuarantined: code.Code = {
  number: 2007,
  status: 422,
  title: 'request or prompt part in quarantine',
  hint: 'Do not repeat it. Change the request or leave the part out, or ask the operators to lift the quarantine.',
};
/** The stream began at a software version that no upstream has any more, or that is not known. */
const streamNotResumable: code.Code = {
  number: 2008,
  status: 503,
  title: 'stream cannot go on',
  hint: 'Not run. Begin the stream anew, without `Last-Event-Id`: no upstream can go on with it.',
};
/** Another instance sent the request here because it reaches no upstream, and this one reaches none either. */
const instanceCutOff: code.Code = {
  number: 2009,
  status: 421,
  title: 'instance reaches no upstream',
  hint: 'Not run. The instance that sent the request asks another one.',
};
/** The right to send to a cold upstream expired before the send. */
const coldRightLapsed: code.Code = {
  number: 2101,
  status: 503,
  title: 'right to a cold upstream lapsed',
  hint: 'Not run there. The prompt is placed again; nothing needs to be done.',
};
/** A request with the same idempotency key is in progress. */
const inProgress: code.Code = {
  number: 3001,
  status: 409,
  title: 'request with this key is in progress',
  hint: 'Retry with the same key to get its recorded answer.',
};
/** It cannot be determined whether the request ran. */
const outcomeUnknown: code.Code = {
  number: 3002,
  status: 502,
  title: 'outcome unknown',
  hint: 'The request may have run. Read the service’s records before sending it under a new key.',
};
/** The idempotency key was used before with a different method, path or body. */
const keyReused: code.Code = {
  number: 3003,
  status: 422,
  title: 'key used for another request',
  hint: 'Use a new key for each request.',
};
/** The claim of the idempotency key could not be recorded, so the request was not sent. */
const claimUnavailable: code.Code = {
  number: 3004,
  status: 503,
  title: 'claim could not be recorded',
  hint: 'Not run. Retry with the same key.',
};
/** The idempotency key is older than the retention of claims. */
const keyExpired: code.Code = {
  number: 3005,
  status: 422,
  title: 'key older than the retention',
  hint: 'Not run. Use a new key.',
};
/** The time in the idempotency key is ahead of the instance's clock. */
const keyFromFuture: code.Code = {
  number: 3101,
  status: 422,
  title: 'key’s time is in the future',
  hint: 'Not run. Check the clock of the machine that made the key.',
};
/** The request ran, but its answer was too large to store. */
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
  promptQuarantined,
  streamNotResumable,
  instanceCutOff,
  coldRightLapsed,
  inProgress,
  outcomeUnknown,
  keyReused,
  claimUnavailable,
  keyExpired,
  keyFromFuture,
  answerNotKept,
} as const satisfies Record<string, code.Code>;
