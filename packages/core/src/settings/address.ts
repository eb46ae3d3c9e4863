/** Network addresses in settings and in entries of the platform. */
import * as zod from 'zod';

const MAX_PORT = 65_535;
/** The longest name in the DNS (RFC 1035). */
const MAX_HOST_LENGTH = 253;
const HOST_AND_PORT = /^([a-z0-9](?:[a-z0-9._-]*[a-z0-9.])?):(\d{1,5})$/i;

const EXPECTED = 'expected HOST:PORT';

function isUsable(text: string, minPort: number): boolean {
  const [, host = '', port = ''] = HOST_AND_PORT.exec(text) ?? [];
  const isInRange = port !== '' && Number(port) >= minPort && Number(port) <= MAX_PORT;
  // A name that ends in a number is an IPv4 address, which may be malformed.
  return isInRange && host.length <= MAX_HOST_LENGTH && URL.canParse(`http://${text}`);
}

/** An address to connect or to send to. */
export const hostAndPort = zod.string().refine((text) => isUsable(text, 1), EXPECTED);

/** An address to listen on; port 0 selects a free port. */
export const hostAndAnyPort = zod.string().refine((text) => isUsable(text, 0), EXPECTED);

/** Splits HOST:PORT into the two parts that sockets expect. */
export function split(address: string): { host: string; port: number } {
  const [host = '', port = ''] = address.split(':');
  return { host, port: Number(port) };
}
