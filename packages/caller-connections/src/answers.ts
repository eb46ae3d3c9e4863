/** Answers to what is no request, or not in time. */
import * as http from 'node:http';

/** The head or the body came too slowly; the head is too large; the bytes are no request. */
export type Fault = 'slow-head' | 'slow-body' | 'large-head' | 'malformed';

export type ErrorBody = { contentType: string; text: string };

export function statusOf(fault: Fault): number {
  switch (fault) {
    case 'slow-head':
    case 'slow-body':
      return 408;
    case 'large-head':
      return 431;
    case 'malformed':
      return 400;
    default:
      throw new Error(`unexpected fault: ${JSON.stringify(fault satisfies never)}`);
  }
}

function headersOf(errorBody: ErrorBody | undefined): Readonly<Record<string, string>> {
  return {
    ...(errorBody ? { 'Content-Type': errorBody.contentType } : {}),
    'Content-Length': String(Buffer.byteLength(errorBody?.text ?? '')),
    Connection: 'close',
  };
}

/** The whole response to a connection on which no request has begun. */
export function textOf(fault: Fault, errorBody: ErrorBody | undefined): string {
  const status = statusOf(fault);
  const lines = Object.entries(headersOf(errorBody)).map(([name, value]) => `${name}: ${value}`);
  const head = [`HTTP/1.1 ${status} ${http.STATUS_CODES[status]}`, ...lines].join('\r\n');
  return `${head}\r\n\r\n${errorBody?.text ?? ''}`;
}

/** Answers a request that has begun. */
export function write(
  response: http.ServerResponse,
  fault: Fault,
  errorBody: ErrorBody | undefined,
): void {
  response.writeHead(statusOf(fault), headersOf(errorBody)).end(errorBody?.text ?? '');
}
