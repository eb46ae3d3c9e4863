/** Orders to load other weights. */
import type * as http from 'node:http';

export type Accepted = { version: number; orders: number; fence: number };

/** Updates what has been accepted in place. */
export function answer(accepted: Accepted, text: string, response: http.ServerResponse): void {
  const given = JSON.parse(text) as { version: number; fence: number; expected: number };
  if (given.fence < accepted.fence) {
    response.writeHead(412).end();
    return;
  }
  if (given.expected !== accepted.orders) {
    response.writeHead(409).end();
    return;
  }
  const { fence, version } = given;
  Object.assign(accepted, { fence, orders: accepted.orders + 1, version });
  response.writeHead(202).end();
}
