/** Answers to a resumed stream that do not go on with it. Streams that begin are cut. */
import type * as http from 'node:http';

export const RESUMPTION_FAULTS = [
  'resumed-by-error',
  'resumed-by-body',
  'resumed-by-no-content',
  'resumed-by-no-event',
] as const;

export type ResumptionFault = (typeof RESUMPTION_FAULTS)[number];

export function isResumption(fault: string): fault is ResumptionFault {
  return (RESUMPTION_FAULTS as readonly string[]).includes(fault);
}

export function answer(
  response: http.ServerResponse,
  fault: ResumptionFault,
  headers: Readonly<Record<string, string>>,
): void {
  switch (fault) {
    case 'resumed-by-error':
      response.writeHead(500, headers).end('error of the second upstream');
      return;
    case 'resumed-by-body':
      response.writeHead(200, { ...headers, 'content-type': 'application/json' }).end('{"a":1}');
      return;
    case 'resumed-by-no-content':
      response.writeHead(204, headers).end();
      return;
    case 'resumed-by-no-event':
      response
        .writeHead(200, { ...headers, 'content-type': 'text/event-stream', 'content-length': 0 })
        .end();
      return;
    default:
      throw new Error(`unexpected fault: ${JSON.stringify(fault satisfies never)}`);
  }
}
