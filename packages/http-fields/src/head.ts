/**
 * Checks the head of a request. What Node's HTTP parser lets through depends on the processor, and the
 * HTTP client throws on some of it.
 */
import * as http from 'node:http';

import * as neverthrow from 'neverthrow';

export type Head = {
  httpVersion: string;
  /** Path and query. */
  target: string;
  /** Names and values in turn, as received. */
  rawHeaders: readonly string[];
};

/** Visible characters of ASCII (RFC 9112, section 3.2). */
const TARGET = /^[\u0021-\u007e]+$/;

const checkName = neverthrow.Result.fromThrowable(
  (name: string) => http.validateHeaderName(name),
  () => 'a header name that is no token',
);
const checkValue = neverthrow.Result.fromThrowable(
  (name: string, value: string) => http.validateHeaderValue(name, value),
  () => 'a header value with a control character',
);

/** Fails with what is wrong, by RFC 9110 (section 5) and RFC 9112 (section 3.2). */
export function check({ httpVersion, target, rawHeaders }: Head): neverthrow.Result<void, string> {
  if (!TARGET.test(target)) {
    return neverthrow.err('a request target with a character other than visible ASCII');
  }
  const hosts = rawHeaders.filter((text, at) => at % 2 === 0 && text.toLowerCase() === 'host');
  if (hosts.length > 1 || (hosts.length === 0 && httpVersion === '1.1')) {
    return neverthrow.err(`${hosts.length} Host headers`);
  }
  const faults = rawHeaders.map((text, at) =>
    at % 2 === 0 ? checkName(text) : checkValue('value', text),
  );
  return faults.find((each) => each.isErr()) ?? neverthrow.ok();
}
