/* eslint-disable import-x/prefer-default-export, no-use-before-define, @stylistic/max-len, @stylistic/implicit-arrow-linebreak, @stylistic/function-paren-newline -- a script that runs step by step, formatted by Prettier */
/**
 * A small replica in a process of its own: it answers as the pages say, and prints what it receives. The options
 * say how it ends its answers. `main` prints `{"listening": ADDRESS}` first.
 */
import http from 'node:http';

const options = {
  id: 'i-1',
  service: 'dispatch',
  version: 1,
  model: 'daka510000',
  /** Bytes of a plain answer. */
  bodyBytes: 800,
  /** `length`, or `none`: the answer ends with its connection. */
  framing: 'length',
  /** Time that a plain request runs. */
  workMs: 20,
  events: 20,
  eventGapMs: 100,
  headers: {},
  /** Requests that run at once, and how many more may wait. */
  slots: 64,
  queue: 192,
  /** Spread of the time that a plain request runs, as a share of it. */
  spread: 0,
  ...JSON.parse(process.argv[2] ?? '{}'),
};
const say = (message) => process.stdout.write(`${JSON.stringify(message)}\n`);
const state = {
  headers: options.headers,
  orders: 0,
  fence: 0,
  version: options.version,
  queue: options.queue,
  /** The most rejections in a second that it bears; undefined if it bears any number. */
  brittle: undefined,
  downMs: 3_000,
  /** Whether plain answers without a length stop in the middle. */
  isStuck: false,
};
const running = new Set();
const waiting = [];
const sockets = new Set();
let rejections = [];

/** A fall cuts everything, and frees the address until the replica is back. */
function fall() {
  say({
    fell: options.id,
    running: running.size,
    waiting: waiting.length,
    rejected: rejections.length,
  });
  running.clear();
  waiting.length = 0;
  rejections = [];
  const { port } = server.address();
  server.close();
  sockets.forEach((socket) => socket.resetAndDestroy());
  setTimeout(() => server.listen(port, '127.0.0.1', () => say({ back: options.id })), state.downMs);
}

/** For want of room, as the pages say: not run, and told so. */
function reject(requestId, response) {
  const now = performance.now();
  rejections = [...rejections.filter((at) => now - at < 1_000), now];
  say({ rejected: requestId, inLastSecond: rejections.length });
  response.writeHead(503, { ...head(requestId), 'x-medlarweir-not-executed': '1' }).end();
  if (state.brittle !== undefined && rejections.length > state.brittle) fall();
}

/** Runs the work at once, or when a slot is free; `work` gets the callback that frees its slot. */
function admit(requestId, response, work) {
  const start = () => {
    if (response.destroyed) return next();
    const run = { requestId };
    running.add(run);
    say({ ran: requestId });
    response.on('close', () => {
      if (running.delete(run)) next();
    });
    return work();
  };
  if (running.size < options.slots) start();
  else if (waiting.length < state.queue) waiting.push(start);
  else reject(requestId, response);
}

function next() {
  if (running.size < options.slots) waiting.shift()?.();
}

/** The bytes at an offset tell the offset, so that a client can check what it has. */
export function bodyOf(bytes) {
  return Buffer.from('0123456789abcdef'.repeat(Math.ceil(bytes / 16))).subarray(0, bytes);
}

function head(requestId) {
  return {
    'x-medlarweir-request-id': requestId,
    'x-medlarweir-response-seal': `3e1b.07.5a2.${requestId}`,
    'x-medlarweir-server-load': `${running.size},${waiting.length},${options.slots}`,
    'x-medlarweir-weight-versions': String(state.version),
    ...state.headers,
  };
}

function answerPlain(requestId, response) {
  const body = bodyOf(options.bodyBytes);
  const workMs = options.workMs * (1 + options.spread * (2 * Math.random() - 1));
  setTimeout(() => {
    if (response.destroyed) return;
    if (options.framing === 'length') {
      response.writeHead(200, { ...head(requestId), 'content-length': body.length }).end(body);
      say({ answered: requestId, bytes: body.length });
      return;
    }
    // Without chunks and with `close`, Node.js writes neither of the framing headers.
    Object.assign(response, { useChunkedEncodingByDefault: false });
    response.writeHead(200, { ...head(requestId), connection: 'close' });
    if (!state.isStuck) {
      response.end(body, () => say({ answered: requestId, bytes: body.length }));
      return;
    }
    // The rest is still being made when the replica crashes.
    response.write(body.subarray(0, body.length / 2), () =>
      say({ begun: requestId, bytes: body.length / 2 }),
    );
  }, workMs);
}

function answerStream(requestId, after, response) {
  response.writeHead(200, { ...head(requestId), 'content-type': 'text/event-stream' });
  const send = (at) => {
    if (response.destroyed) return;
    if (at > options.events) {
      response.end();
      say({ answered: requestId });
      return;
    }
    response.write(`id: ${at}\ndata: ${options.id} ${at}\n\n`);
    setTimeout(() => send(at + 1), options.eventGapMs);
  };
  send(after + 1);
}

const server = http.createServer((request, response) => {
  const chunks = [];
  response.on('error', () => undefined);
  request.on('data', (chunk) => chunks.push(chunk));
  request.on('end', () => {
    const { url: target, method, headers } = request;
    const requestId = headers['x-medlarweir-request-id'];
    if (target === '/-/say') {
      Object.assign(state, JSON.parse(Buffer.concat(chunks).toString()));
      response.end('{}');
    } else if (target === '/-/report') {
      const models = [{ name: options.model, version: state.version, adapters: [] }];
      const figures = {
        queued: 0,
        active: 0,
        kvUsed: 0,
        kvTotal: 95_715,
        handles: 0,
      };
      response.writeHead(200, { 'content-type': 'application/json', ...state.headers });
      response.end(
        JSON.stringify({
          stage: 'both',
          models,
          busy: false,
          seq: state.orders,
          ...figures,
        }),
      );
    } else if (target === '/health') {
      response.writeHead(200, { 'x-medlarweir-instance-id': options.id, ...state.headers }).end();
    } else {
      const expected = headers['x-medlarweir-expect-instance'];
      if (expected !== undefined && expected !== options.id) {
        response.writeHead(421, { 'x-medlarweir-instance-id': options.id }).end();
        return;
      }
      say({
        received: requestId,
        method,
        target,
        bytes: Buffer.concat(chunks).length,
      });
      admit(requestId, response, () => {
        if (headers['x-medlarweir-model'] === undefined) answerPlain(requestId, response);
        else answerStream(requestId, Number(headers['last-event-id'] ?? 0), response);
      });
    }
  });
});
server.keepAliveTimeout = 15_000;
server.on('connection', (socket) => {
  sockets.add(socket);
  socket.on('close', () => sockets.delete(socket));
});
server.listen(0, '127.0.0.1', () => say({ listening: `127.0.0.1:${server.address().port}` }));
