/**
 * Result codes of the system: 4xxx upstreams and stores, 5xxx platform and configuration,
 * 6xxx operators and settings.
 */
import type * as code from './code.js';

/** No connection to the upstream could be made. */
const upstreamUnreachable: code.Code = {
  number: 4001,
  status: 502,
  title: 'upstream unreachable',
  hint: 'Not run. Retry.',
};
/** The retry budget is exhausted. */
const retriesExhausted: code.Code = {
  number: 4151,
  status: 503,
  title: 'too many retries',
  hint: 'Many requests fail at the moment. Retry later; `run` says whether this one ran.',
};
/** The upstream's answer cannot be decoded. */
const upstreamMalformed: code.Code = {
  number: 4002,
  status: 502,
  title: 'upstream’s answer is malformed',
  hint: 'Look at the upstream’s log.',
};
/** The upstream refused, and guarantees that it did not run the request. */
const upstreamRefused: code.Code = {
  number: 4003,
  status: 503,
  title: 'upstream refused',
  hint: 'Not run. Retry later.',
};
/** The run was interrupted and could not be resumed. */
const runLost: code.Code = {
  number: 4004,
  status: 502,
  title: 'run lost',
  hint: 'Send the prompt again.',
};
/** The request was sent, but no answer that can be forwarded came back. */
const answerLost: code.Code = {
  number: 4006,
  status: 502,
  title: 'answer lost',
  hint: 'The request may have run. Look up its id in the journal before sending it again.',
};
/** A store's answer failed the safe read checks. */
const unsafeRead: code.Code = {
  number: 4005,
  status: 502,
  title: 'stored piece failed its checks',
  hint: 'The piece is recomputed; nothing needs to be done.',
};
/** An import was cancelled because recomputing had become faster. */
const importLate: code.Code = {
  number: 4101,
  status: 503,
  title: 'import would be late',
  hint: 'The context is recomputed; look at the store’s link if it happens often.',
};
/** The platform does not answer; a write may have taken effect or not. */
const platformUnavailable: code.Code = {
  number: 5001,
  status: 503,
  title: 'platform unavailable',
  hint: 'Requests that need no claim go on; keyed requests are refused until it is back.',
};
/** The platform's answer cannot be decoded. */
const platformMalformed: code.Code = {
  number: 5002,
  status: 502,
  title: 'platform’s object is malformed',
  hint: 'The message names the key and the field; the last good state stays in force.',
};
/** Another writer changed the object first. */
const conflict: code.Code = {
  number: 5003,
  status: 409,
  title: 'changed by another writer',
  hint: 'Look at both versions and apply the change again.',
};
/** A change was sent, but no answer says whether it took effect. */
const changeUnknown: code.Code = {
  number: 5101,
  status: 503,
  title: 'change may have taken effect',
  hint: 'Look at `medlarctl history` once the platform answers; do not assume either outcome.',
};
/** A setting, a questionnaire answer or a configuration field is invalid. */
const invalidInput: code.Code = {
  number: 6001,
  status: 400,
  title: 'invalid input',
  hint: 'The message names the field, what was expected and what was found.',
};
/** The instance has no configuration yet. */
const notConfigured: code.Code = {
  number: 6002,
  status: 503,
  title: 'no configuration yet',
  hint: 'Not run. Apply a configuration, or wait until the instance has learned it.',
};
/** `medlarctl` has no such command. */
const unknownCommand: code.Code = {
  number: 6003,
  status: 400,
  title: 'unknown command',
  hint: 'See `medlarctl --help`.',
};
/** The operator did not confirm a change, or there was no terminal to ask at. */
const declined: code.Code = {
  number: 6141,
  status: 409,
  title: 'declined',
  hint: 'Nothing was changed. Answer yes, or confirm in advance with `--yes`.',
};
/** The arguments of a `medlarctl` command are missing or invalid. */
const wrongUse: code.Code = {
  number: 6142,
  status: 400,
  title: 'wrong use',
  hint: 'See `medlarctl --help`.',
};
/** The platform's list has no instance with this name. */
const unknownInstance: code.Code = {
  number: 6143,
  status: 404,
  title: 'unknown instance',
  hint: 'The platform’s list may be out of date; check `medlarctl status`.',
};
/** The routing table was confirmed too long ago to decide on the request. */
const configurationUnsure: code.Code = {
  number: 5004,
  status: 503,
  title: 'configuration not confirmed',
  hint: 'Not run. Retry after the time in `Retry-After`; another instance may be better connected.',
};
/** An instance does not answer, or rejects the deployment key. */
const instanceUnreachable: code.Code = {
  number: 6144,
  status: 502,
  title: 'instance does not answer',
  hint: 'Check the instance’s journal and the deployment key.',
};

export const systemCodes = {
  upstreamUnreachable,
  retriesExhausted,
  upstreamMalformed,
  upstreamRefused,
  runLost,
  answerLost,
  configurationUnsure,
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
} as const satisfies Record<string, code.Code>;
