/** Network addresses, as settings and the platform's entries give them. */
import * as zod from 'zod';

export const hostAndPort = zod.string().regex(/^[^\s:]+:\d{1,5}$/, 'expected HOST:PORT');

/** The two parts of HOST:PORT, as sockets take them. */
export function split(address: string): { host: string; port: number } {
  const [host = '', port = ''] = address.split(':');
  return { host, port: Number(port) };
}
