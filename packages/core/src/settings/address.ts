/** Network addresses in settings and in entries of the platform. */
import * as zod from 'zod';

export const hostAndPort = zod.string().regex(/^[^\s:]+:\d{1,5}$/, 'expected HOST:PORT');

/** Splits HOST:PORT into the two parts that sockets expect. */
export function split(address: string): { host: string; port: number } {
  const [host = '', port = ''] = address.split(':');
  return { host, port: Number(port) };
}
