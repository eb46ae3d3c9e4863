/**
 * A small plain replica: answers with a body of its own for each request. While it is garbled, it
 * answers some requests without a length and resets the connection in the middle of the body.
 */
import * as net from 'node:net';

/** Of the sheet: 21.4 ms of work and bodies of 800 B. */
const WORK_MS = 21;
const BODY_BYTES = 800;

/** The body of the answer to a request; it begins and ends with the request's id. */
export function bodyOf(requestId) {
  const filler = '.'.repeat(BODY_BYTES - 2 * requestId.length);
  return `${requestId}${filler}${requestId}`;
}

function fieldOf(head, name) {
  return new RegExp(`^${name}: (.*)$`, 'im').exec(head)?.[1]?.trim();
}

function answer(socket, head, replica) {
  const requestId = fieldOf(head, 'x-medlarweir-request-id');
  replica.onRan(requestId);
  const body = bodyOf(requestId);
  const own = [
    'HTTP/1.1 200 OK',
    `X-Medlarweir-Request-Id: ${requestId}`,
    `X-Medlarweir-Response-Seal: seal-${requestId}`,
    'X-Medlarweir-Server-Load: 1,0,6',
  ].join('\r\n');
  if (replica.isGarbled(requestId)) {
    replica.onBrokenOff(requestId);
    const part = body.slice(0, BODY_BYTES / 2);
    socket.write(`${own}\r\nConnection: close\r\n\r\n${part}`, () => socket.resetAndDestroy());
  } else socket.write(`${own}\r\nContent-Length: ${body.length}\r\n\r\n${body}`);
}

/** `replica` has `id`, `isGarbled`, `onRan` and `onBrokenOff`; returns its address. */
export async function start(replica) {
  const server = net.createServer((socket) => {
    const state = { text: '' };
    socket.setNoDelay(true);
    socket.on('error', () => undefined);
    socket.on('data', (bytes) => {
      state.text += bytes.toString('latin1');
      const end = state.text.indexOf('\r\n\r\n');
      if (end < 0) return;
      const head = state.text.slice(0, end);
      const length = Number(fieldOf(head, 'content-length') ?? 0);
      if (state.text.length < end + 4 + length) return;
      state.text = '';
      if (head.startsWith('GET /health')) {
        const own = `X-Medlarweir-Instance-Id: ${replica.id}\r\nContent-Length: 0`;
        socket.write(`HTTP/1.1 200 OK\r\n${own}\r\n\r\n`);
      } else setTimeout(answer, WORK_MS, socket, head, replica);
    });
  });
  await new Promise((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return { address: `127.0.0.1:${server.address().port}`, close: () => server.close() };
}
